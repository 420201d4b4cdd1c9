package reviewtwo;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Writes what was sent, answered and run to a file, one line per event, with the time since the
 * start.
 */
final class Record implements AutoCloseable {
  private static final long START_NANOS = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the case, on a monotonic clock. */
  static double nowMs() {
    return (System.nanoTime() - START_NANOS) / 1e6;
  }

  synchronized void write(String format, Object... values) {
    out.printf(Locale.ROOT, "%10.1f ms  %s%n", nowMs(), String.format(Locale.ROOT, format, values));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
