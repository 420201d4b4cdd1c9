package cacheproxy.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The listening socket. It asks the door before it takes a connection from the kernel, not after,
 * so that the bound holds also within a batch; and no failure to take one closes it or stops it for
 * longer than a moment.
 */
final class Listener extends NioServerSocketChannel {
  private final ConnectionAdmission door;
  private boolean ending;

  Listener(ConnectionAdmission door) {
    this.door = door;
  }

  @Override
  protected int doReadMessages(List<Object> taken) {
    if (!door.hasRoom()) {
      return 0;
    }
    try {
      int n = super.doReadMessages(taken);
      door.taking(Math.max(0, n));
      return n;
    } catch (
        Throwable
            t) { // an Error too: where descriptors have run out, classes can't be loaded either
      door.cannotTake(t);
      return 0;
    }
  }

  /**
   * Ends it with nobody left in the kernel's backlog, who would be reset. On the event loop; done a
   * round or two of it later. The selector goes first: a channel that it still holds a key of is
   * closed by its next round only, and the kernel takes connections until then. What is left is the
   * moment between the last empty look and the close.
   *
   * @param batches so many batches are taken at most
   */
  void closeEmpty(int batches) {
    if (!ending) {
      ending = true;
      deregister().addListener(f -> takeRest(batches));
    }
  }

  private void takeRest(int batches) {
    if (javaChannel().isRegistered()) {
      eventLoop().schedule(() -> takeRest(batches), 1, TimeUnit.MILLISECONDS);
      return;
    }
    int left = batches;
    for (int before = -1; left > 0 && door.inUse() != before; left--) {
      before = door.inUse();
      unsafe().read();
    }
    try { // straight at the socket: Netty's way to the close takes long enough for one more to come
      for (SocketChannel late; door.hasRoom() && (late = javaChannel().accept()) != null; ) {
        door.taking(1);
        pipeline().fireChannelRead(new NioSocketChannel(this, late));
      }
      javaChannel().close();
    } catch (IOException e) {
      door.cannotTake(e);
    }
    close();
  }

  /** Whatever goes wrong with one connection says nothing of the next. */
  @Override
  protected boolean closeOnReadError(Throwable cause) {
    return !isActive();
  }
}
