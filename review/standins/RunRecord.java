package standins;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and executed, each with its time. */
public final class RunRecord implements AutoCloseable {
  private static final double NANOS_PER_MS = 1e6;

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  public RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the run. */
  public double nowMs() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  /** Writes one line with the present time. */
  public synchronized void line(String format, Object... arguments) {
    out.printf(Locale.ROOT, "%10.1f ms  ", nowMs());
    out.println(String.format(Locale.ROOT, format, arguments));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
