package cacheproxy.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * An address at which no connection comes up and none is refused, as that of a machine that is
 * gone: a listener that never accepts and whose queue is full, so that the system drops what else
 * wants to come.
 */
final class BlackholeListener implements AutoCloseable {
  /** More than the system lets wait for a queue of one. */
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
      filler.connect(at); // the first ones wait in the queue, the last never come up
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
