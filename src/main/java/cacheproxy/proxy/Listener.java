package cacheproxy.proxy;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The listening socket. It asks the connection admission before it accepts a connection rather than
 * after, so that the limit also holds within one accept round. A failed accept does not close the
 * socket, and pauses it only for a moment.
 */
final class Listener extends NioServerSocketChannel {
  private final ConnectionAdmission admission;
  private boolean closing;

  Listener(ConnectionAdmission admission) {
    this.admission = admission;
  }

  @Override
  protected int doReadMessages(List<Object> accepted) {
    if (!admission.mayAccept()) {
      return 0;
    }
    try {
      int n = super.doReadMessages(accepted);
      admission.connectionsAccepted(Math.max(0, n));
      return n;
    } catch (Throwable t) { // also an Error: without a free descriptor, class loading fails too
      admission.acceptFailed(t);
      return 0;
    }
  }

  /**
   * Accepts the connections in the kernel's backlog, which closing the socket would reset, and
   * closes it. To be called on the event loop; it finishes one or two rounds later. The channel is
   * deregistered from the selector first: the descriptor of a channel with a selection key stays
   * open until the selector's next round, and the kernel accepts connections until then. A
   * connection is reset only if it arrives between the last unsuccessful accept and the close.
   *
   * @param maxRounds the maximum number of accept rounds
   */
  void acceptBacklogAndClose(int maxRounds) {
    if (!closing) {
      closing = true;
      deregister().addListener(f -> acceptBacklog(maxRounds));
    }
  }

  private void acceptBacklog(int maxRounds) {
    if (javaChannel().isRegistered()) {
      eventLoop().schedule(() -> acceptBacklog(maxRounds), 1, TimeUnit.MILLISECONDS);
      return;
    }
    int remainingRounds = maxRounds;
    for (int inUseBefore = -1;
        remainingRounds > 0 && admission.inUse() != inUseBefore;
        remainingRounds--) {
      inUseBefore = admission.inUse();
      unsafe().read();
    }
    try { // closes the socket directly: within Netty's close another connection could arrive
      for (SocketChannel late; admission.mayAccept() && (late = javaChannel().accept()) != null; ) {
        admission.connectionsAccepted(1);
        pipeline().fireChannelRead(new NioSocketChannel(this, late));
      }
      javaChannel().close();
    } catch (IOException e) {
      admission.acceptFailed(e);
    }
    close();
  }

  /** A failure to accept one connection does not affect later ones. */
  @Override
  protected boolean closeOnReadError(Throwable cause) {
    return !isActive();
  }
}
