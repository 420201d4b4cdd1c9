package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** Discovery with a list that never changes (PROTOCOL, "Discovery"): a watch waits out its time. */
public final class Discovery extends Server {
  private final String hosts;

  /**
   * @param hosts the entries of the list, as JSON
   */
  public Discovery(String hosts) throws IOException {
    this.hosts = hosts;
    listen();
  }

  /** The whole list, as JSON. */
  public String wholeList() {
    return "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
  }

  @Override
  protected void serve(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    for (String start; (start = Lines.read(in)) != null; ) {
      while (!Lines.read(in).isEmpty()) {
        // no header matters
      }
      boolean watch = start.contains("since=1&");
      if (watch) {
        Thread.sleep(Integer.parseInt(start.replaceAll(".*timeout_ms=(\\d+).*", "$1")));
      }
      byte[] body =
          Lines.bytes(watch ? "{\"seq\":1,\"whole\":false,\"hosts\":[]}" : wholeList());
      out.write(Lines.bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
      out.write(body);
    }
  }
}
