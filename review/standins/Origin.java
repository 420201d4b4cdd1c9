package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Locale;

/** The origin, over HTTP/1.1 (PROTOCOL, "Proxies to cache nodes"). It carries out every request. */
public final class Origin extends Server {
  private static final int VALUE_LENGTH = 512;

  private final RunRecord record;
  private final long workMs;

  /**
   * @param workMs the time that each request takes
   */
  public Origin(RunRecord record, long workMs) throws IOException {
    this.record = record;
    this.workMs = workMs;
    listen();
  }

  @Override
  protected void serve(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (String start; (start = Lines.read(in)) != null; ) {
      String id = "";
      String extra = "";
      int length = 0;
      for (String header; !(header = Lines.read(in)).isEmpty(); ) {
        String value = header.substring(header.indexOf(':') + 1).trim();
        switch (header.substring(0, header.indexOf(':')).toLowerCase(Locale.ROOT)) {
          case "req-id" -> id = value;
          case "req-extra" -> extra = value;
          case "content-length" -> length = Integer.parseInt(value);
          default -> {}
        }
      }
      in.readNBytes(length);
      boolean write = start.startsWith("PUT ");
      record.line("origin  begins %s: %s Req-Extra: %s", id, start, extra);
      Thread.sleep(workMs);
      byte[] body = write ? Lines.bytes("r" + id) : Values.madeFor(id, VALUE_LENGTH);
      out.write(Lines.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
      out.write(body);
      record.line("origin  answered %s", id);
    }
  }
}
