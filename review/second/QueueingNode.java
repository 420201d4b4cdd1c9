package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A cache node that reads commands as they arrive and works on those of a connection one after the
 * other, so that {@link #received} has the time at which each has arrived.
 */
abstract class QueueingNode extends CacheNode {
  QueueingNode(String name) throws IOException {
    super(name, "127.0.0.1");
  }

  /**
   * Works on a command and answers it.
   *
   * @param waiting the commands of the same connection that have come whole and wait
   */
  abstract void work(Command command, BlockingQueue<Command> waiting, OutputStream out)
      throws IOException;

  @Override
  void serve(LineReader in, OutputStream out) throws IOException {
    BlockingQueue<Command> waiting = new LinkedBlockingQueue<>();
    Thread worker = start(() -> workOff(waiting, out));
    try {
      for (String line; (line = in.line()) != null; ) {
        Command command = Command.parse(line, in.firstByteMs());
        received.add(command);
        waiting.add(command);
      }
    } finally {
      worker.interrupt();
    }
  }

  private void workOff(BlockingQueue<Command> waiting, OutputStream out) {
    try {
      while (true) {
        work(waiting.take(), waiting, out);
      }
    } catch (InterruptedException | IOException e) {
      // The connection has ended.
    }
  }
}
