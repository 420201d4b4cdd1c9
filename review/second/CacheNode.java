package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A cache node that has every key. Answers at once unless a case overrides {@link #answer}. */
class CacheNode extends Server {
  final String name;
  final Queue<Command> received = new ConcurrentLinkedQueue<>();

  CacheNode(String name, String ip) throws IOException {
    super(ip);
    this.name = name;
  }

  @Override
  void serve(LineReader in, OutputStream out) throws IOException {
    for (String line; (line = in.line()) != null; ) {
      if (line.equals("mn")) {
        out.write(bytes("MN\r\n"));
      } else if (line.startsWith("mg ")) {
        Command command = Command.parse(line, in.firstByteMs());
        received.add(command);
        answer(command, out);
      } else {
        out.write(bytes("CLIENT_ERROR unexpected\r\n"));
        return;
      }
    }
  }

  void answer(Command command, OutputStream out) throws IOException {
    out.write(bytes(valueLine(command, value(command)) + value(command) + "\r\n"));
  }

  static String valueLine(Command command, String value) {
    return "VA " + value.length() + " O" + command.id() + " h1\r\n";
  }

  /** The value that this request is owed: no other request gets the same. */
  static String value(Command command) {
    return "value-of-" + command.key() + "-for-" + command.id();
  }
}
