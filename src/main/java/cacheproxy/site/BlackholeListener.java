package cacheproxy.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which new connections are neither established nor refused, like that of a host that
 * is unreachable. The listener never accepts and its backlog is full, so the operating system drops
 * further SYN packets.
 */
final class BlackholeListener implements AutoCloseable {
  /**
   * Connections opened to fill the backlog: more than the operating system queues for a backlog of
   * one.
   */
  private static final int FILLERS = 4;

  private final ServerSocket listener;
  private final List<SocketChannel> fillers = new ArrayList<>();

  BlackholeListener(InetSocketAddress at) throws IOException {
    listener = new ServerSocket();
    try {
      listener.setReuseAddress(true);
      listener.bind(at, 1);
    } catch (IOException e) {
      listener.close();
      throw e;
    }
    for (int i = 0; i < FILLERS; i++) {
      SocketChannel filler = SocketChannel.open();
      filler.configureBlocking(false);
      filler.connect(at); // the first fill the backlog, the others are never established
      fillers.add(filler);
    }
  }

  @Override
  public void close() throws IOException {
    for (SocketChannel f : fillers) {
      f.close();
    }
    listener.close();
  }
}
