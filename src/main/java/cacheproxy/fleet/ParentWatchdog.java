package cacheproxy.fleet;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Kills the processes that a rig has started as soon as the rig's own process ends, even by
 * SIGKILL. A shell waits for the end of its input, which is reached when the rig's process ends. It
 * kills only processes whose environment names the rig's directory, and then deletes the directory.
 */
final class ParentWatchdog implements AutoCloseable {
  private final Process shell;

  /**
   * @param folder directory of the rig; the TMPDIR of its processes lies in it
   */
  ParentWatchdog(Path folder) throws IOException {
    shell =
        new ProcessBuilder(
                "sh",
                "-c",
                "cat >/dev/null; for e in /proc/[0-9]*/environ; do "
                    + "if tr '\\0' '\\n' <\"$e\" 2>/dev/null | grep -qF \"TMPDIR=$1/\"; then p=${e%/environ}; kill -9 \"${p#/proc/}\"; fi; done; "
                    + "rm -rf \"$1\"",
                "parent-watchdog",
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
