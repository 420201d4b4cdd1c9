package cacheproxy.simulator;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command {@code simulate}: the simulator's protocol on standard input and output. */
public final class SimulateCommand {
  private static final int INPUT_BUFFER_BYTES = 1 << 16;
  private static final int EXIT_DONE = 0;
  private static final int EXIT_FAILED = 1;

  private SimulateCommand() {}

  /**
   * Answers batches until standard input ends, on the calling thread. Nothing but replies is
   * written to standard output.
   *
   * @return the process's exit code: 0 at the end of the input, 1 after malformed input or a failed
   *     read or write, with one line on standard error
   */
  public static int run() {
    // not System.out: a complete reply is written and flushed, past any buffer or encoding
    try {
      new SimulatorAdapter(
              new BufferedInputStream(System.in, INPUT_BUFFER_BYTES),
              new FileOutputStream(FileDescriptor.out))
          .run();
      return EXIT_DONE;
    } catch (WireException | IOException e) {
      System.err.println(e.getMessage());
      return EXIT_FAILED;
    }
  }
}
