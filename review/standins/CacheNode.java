package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A cache node (PROTOCOL, "Proxies to cache nodes"). A command is begun when its last byte has come,
 * and answered behind those before it on its connection. Writes do not reach a cache node, as they
 * go to the origin.
 */
public final class CacheNode extends Server {
  /** A read that a proxy has sent. */
  public record Read(String key, String id, String extra) {}

  /** What a node does with a read. */
  public enum Outcome {
    VALUE,
    MISS,
    /** It has run and failed. */
    FAILED,
    /** It was turned away and never runs. */
    BUSY,
    /** It was dropped without a word and never runs. */
    DROPPED
  }

  /**
   * The answer to a read.
   *
   * @param workMs the time from the read's last byte to its answer
   * @param valueLength the length of the value, if it is one
   */
  public record Reply(Outcome outcome, long workMs, int valueLength) {
    public static Reply value(long workMs, int valueLength) {
      return new Reply(Outcome.VALUE, workMs, valueLength);
    }

    public static Reply of(Outcome outcome, long workMs) {
      return new Reply(outcome, workMs, 0);
    }

    private byte[] text(String id) {
      return Lines.bytes(
          switch (outcome) {
            case VALUE -> "VA " + valueLength + " O" + id + "\r\n";
            case MISS -> "EN O" + id + "\r\n";
            case FAILED -> "SERVER_ERROR failed\r\n";
            case BUSY -> "SERVER_ERROR busy\r\n";
            case DROPPED -> "";
          });
    }
  }

  private record Answer(String id, Reply reply, long dueNanos) {}

  private final String name;
  private final RunRecord record;
  private final Function<Read, Reply> behaviour;

  public CacheNode(String name, RunRecord record, Function<Read, Reply> behaviour)
      throws IOException {
    this.name = name;
    this.record = record;
    this.behaviour = behaviour;
    listen();
  }

  @Override
  protected void serve(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    start(() -> writeAnswers(socket, answers));
    for (String line; (line = Lines.read(in)) != null; ) {
      String[] words = line.split(" ");
      Read read = new Read(words[1], Lines.flag(line, 'O'), Lines.flag(line, 'P'));
      Reply reply = behaviour.apply(read);
      String end =
          switch (reply.outcome()) {
            case DROPPED -> "drops";
            case BUSY -> "turns away";
            default -> "runs";
          };
      record.line("%s     %s %s: %s", name, end, read.id(), line);
      answers.add(new Answer(read.id(), reply, System.nanoTime() + reply.workMs() * 1_000_000));
    }
  }

  private void writeAnswers(Socket socket, BlockingQueue<Answer> answers) {
    try {
      OutputStream out = socket.getOutputStream();
      while (true) {
        Answer next = answers.take();
        TimeUnit.NANOSECONDS.sleep(next.dueNanos() - System.nanoTime());
        Reply reply = next.reply();
        if (reply.outcome() == Outcome.DROPPED) {
          continue;
        }
        out.write(reply.text(next.id()));
        if (reply.outcome() == Outcome.VALUE) {
          out.write(Values.madeFor(next.id(), reply.valueLength()));
          out.write(Lines.bytes("\r\n"));
        }
        record.line("%s     answers %s: %s", name, next.id(), reply.outcome());
      }
    } catch (IOException | InterruptedException e) {
      // the proxy has ended the connection
    }
  }
}
