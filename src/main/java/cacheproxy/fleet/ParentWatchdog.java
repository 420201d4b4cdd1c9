package cacheproxy.fleet;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Ends what a rig has started when the rig itself is gone, however it went: a small shell that
 * waits for the end of its input, which comes with the rig's. It ends only processes that have the
 * rig's folder in their environment.
 */
final class ParentWatchdog implements AutoCloseable {
  private final Process shell;

  /**
   * @param folder of the rig; processes below it name it in TMPDIR
   */
  ParentWatchdog(Path folder) throws IOException {
    shell =
        new ProcessBuilder(
                "sh",
                "-c",
                "cat >/dev/null; for e in /proc/[0-9]*/environ; do "
                    + "if tr '\\0' '\\n' <\"$e\" 2>/dev/null | grep -qF \"TMPDIR=$1/\"; then p=${e%/environ}; kill -9 \"${p#/proc/}\"; fi; done; "
                    + "rm -rf \"$1\"",
                "guardian",
                folder.toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
  }

  @Override
  public void close() throws IOException {
    shell.getOutputStream().close();
    try {
      shell.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
