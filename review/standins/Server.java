package standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP server on a free loopback port with one thread for each connection. */
public abstract class Server implements AutoCloseable {
  private static final int BACKLOG = 512;

  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

  protected Server() throws IOException {
    listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
  }

  /** Serves one connection until it ends. */
  protected abstract void serve(Socket socket) throws Exception;

  /** Starts to accept connections. */
  protected final void listen() {
    start(this::acceptAll);
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        start(() -> serveAndClose(socket));
      } catch (IOException e) {
        // closed, or this one connection failed
      }
    }
  }

  private void serveAndClose(Socket socket) {
    try (socket) {
      serve(socket);
    } catch (Exception e) {
      // the other side has ended the connection
    } finally {
      sockets.remove(socket);
    }
  }

  protected static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  public String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.getLocalSocketAddress()).getPort();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
