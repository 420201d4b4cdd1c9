package reviewtwo;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket on a loopback address with one thread for each connection. */
abstract class Server implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  Server(String ip) throws IOException {
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
    start(this::acceptAll);
  }

  /** The address in the form that configuration and endpoint list use. */
  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Serves one connection until it ends. */
  abstract void serve(LineReader in, OutputStream out) throws IOException;

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        connections.add(socket);
        start(() -> serveAndClose(socket));
      } catch (IOException e) {
        return; // closed
      }
    }
  }

  private void serveAndClose(Socket socket) {
    try (socket) {
      serve(
          new LineReader(new BufferedInputStream(socket.getInputStream())),
          socket.getOutputStream());
    } catch (IOException e) {
      // The other side has closed the connection.
    } finally {
      connections.remove(socket);
    }
  }

  static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(double ms) {
    try {
      Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}
