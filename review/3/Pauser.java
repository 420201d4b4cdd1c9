import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;

/**
 * Holds a process up for a moment: SIGSTOP, and SIGCONT 0.14 s later. A shell that already runs
 * sends the signals, as starting a program for each would take some milliseconds.
 */
final class Pauser implements AutoCloseable {
  private static final String PAUSE = "0.14";

  private final Process shell;
  private final OutputStream orders;
  private final BufferedReader reports;

  Pauser(long pid) throws IOException {
    String pause = "kill -STOP " + pid + "; sleep " + PAUSE + "; kill -CONT " + pid + "; echo done";
    shell = new ProcessBuilder("sh", "-c", "while read order; do " + pause + "; done").start();
    Runtime.getRuntime().addShutdownHook(new Thread(shell::destroyForcibly));
    orders = shell.getOutputStream();
    reports = new BufferedReader(new InputStreamReader(shell.getInputStream()));
  }

  /**
   * Holds the process up and returns for how many milliseconds at the most: from before the first
   * signal was sent until after the second.
   */
  double pause() throws IOException {
    long start = System.nanoTime();
    orders.write('\n');
    orders.flush();
    reports.readLine();
    return (System.nanoTime() - start) / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }

  @Override
  public void close() throws IOException {
    orders.close(); // the shell's loop ends
  }
}
