package standins;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;

/** One connection of a client to the proxy (PROTOCOL, "Clients to proxies"). */
public final class Client implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  /** A final answer: its first line, and the value behind it if there is one. */
  public record Answer(String line, byte[] value) {
    /** Whether this is the value of this length that was made for the request with this id. */
    public boolean isValue(String id, int length) {
      return line.startsWith("VA " + length + " O" + id)
          && Arrays.equals(value, Values.madeFor(id, length));
    }

    /** Whether this is the receipt that was made for the write with this id. */
    public boolean isReceipt(String id) {
      return line.equals("HD O" + id + " cr" + id);
    }
  }

  public Client(InetSocketAddress proxy) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(proxy);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** A client whose system buffers at most about this many received bytes. */
  public Client(InetSocketAddress proxy, int receiveBuffer) throws IOException {
    socket.setReceiveBufferSize(receiveBuffer);
    socket.connect(proxy);
    in = new BufferedInputStream(socket.getInputStream(), 1024);
  }

  public static String read(String key, String id, String extra) {
    return "mg " + key + " v O" + id + " P" + extra + "\r\n";
  }

  public static String write(String key, String value, String id, String extra) {
    return "ms " + key + " " + value.length() + " O" + id + " P" + extra + "\r\n" + value + "\r\n";
  }

  public void send(String text) throws IOException {
    socket.getOutputStream().write(Lines.bytes(text));
  }

  /** Limits the time that each read waits. */
  public void waitAtMost(int ms) throws IOException {
    socket.setSoTimeout(ms);
  }

  /** Reads the first line of an answer; throws EOFException at the end of the connection. */
  public String readLine() throws IOException {
    String line = Lines.read(in);
    if (line == null) {
      throw new EOFException("the connection has ended");
    }
    return line;
  }

  /** Reads a whole answer. */
  public Answer readAnswer() throws IOException {
    String line = readLine();
    if (!line.startsWith("VA ")) {
      return new Answer(line, null);
    }
    byte[] value = readBytes(Integer.parseInt(line.split(" ")[1]) + 2);
    return new Answer(line, Arrays.copyOf(value, value.length - 2));
  }

  /** Reads exactly so many bytes. */
  public byte[] readBytes(int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the connection has ended " + (count - bytes.length) + " bytes early");
    }
    return bytes;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
