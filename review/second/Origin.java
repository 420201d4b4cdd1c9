package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The origin: HTTP/1.1, serves every key and carries out every write. */
class Origin extends Server {
  final Queue<Command> received = new ConcurrentLinkedQueue<>();

  Origin(String ip) throws IOException {
    super(ip);
  }

  @Override
  void serve(LineReader in, OutputStream out) throws IOException {
    for (String line; (line = in.line()) != null; ) {
      double firstByteMs = in.firstByteMs();
      Map<String, String> headers = new HashMap<>();
      for (String header; (header = in.line()) != null && !header.isEmpty(); ) {
        int colon = header.indexOf(':');
        headers.put(
            header.substring(0, colon).toLowerCase(Locale.ROOT),
            header.substring(colon + 1).strip());
      }
      boolean write = line.startsWith("PUT ");
      in.block(Integer.parseInt(headers.getOrDefault("content-length", "0")));
      Command command =
          new Command(
              line.split(" ")[1].substring(1),
              headers.getOrDefault("req-id", ""),
              write,
              headers.getOrDefault("req-extra", ""),
              firstByteMs);
      received.add(command);
      answer(command, out);
    }
  }

  void answer(Command command, OutputStream out) throws IOException {
    out.write(response(command.write() ? receipt(command) : CacheNode.value(command)));
  }

  static byte[] response(String body) {
    return bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** The receipt that this write is owed: no other write gets the same. */
  static String receipt(Command command) {
    return "receipt-" + command.id();
  }
}
