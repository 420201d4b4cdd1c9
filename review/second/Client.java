package reviewtwo;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client's connection to a proxy. */
final class Client implements AutoCloseable {
  final Socket socket = new Socket();
  private final LineReader in;

  Client(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1000);
    in = new LineReader(new BufferedInputStream(socket.getInputStream()));
  }

  static String read(String key, String id, String serviceClass, int deadlineMs) {
    return "mg " + key + " v O" + id + " Pc=" + serviceClass + ",t=t,d=" + deadlineMs + "\r\n";
  }

  static String write(String key, String id, String serviceClass, int deadlineMs, String value) {
    return "ms "
        + key
        + " "
        + value.length()
        + " O"
        + id
        + " Pc="
        + serviceClass
        + ",t=t,d="
        + deadlineMs
        + "\r\n"
        + value
        + "\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(Server.bytes(text));
  }

  /** The next line; "(closed)" at the end of the connection and "(nothing)" after the time. */
  String line(int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    try {
      String line = in.line();
      return line == null ? "(closed)" : line;
    } catch (SocketTimeoutException e) {
      return "(nothing)";
    } catch (IOException e) {
      return "(closed)";
    }
  }

  /** The value behind a line {@code VA LENGTH ...}, without its terminator. */
  String value(String line) throws IOException {
    int length = Integer.parseInt(line.split(" ")[1]);
    return in.block(length + 2).substring(0, length);
  }

  /** Reads one answer: its first line, and behind a blank the value if there is one. */
  String answer(int timeoutMs) throws IOException {
    String line = line(timeoutMs);
    return line.startsWith("VA ") ? line + " " + value(line) : line;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
