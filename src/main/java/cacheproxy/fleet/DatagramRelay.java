package cacheproxy.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Relays all datagrams between the proxies. The relay has one socket for each proxy, and the
 * proxies know each other only by the addresses of these sockets (the {@code peers} of their
 * configuration). A datagram that arrives at the receiver's socket is identified by its source
 * address, passes through {@link LinkFaults}, and is forwarded from the sender's socket. One more
 * socket forwards each datagram to all proxies. All work runs on one event loop, and datagrams to
 * be delayed are dropped while {@link #MAX_IN_FLIGHT} others are waiting.
 */
final class DatagramRelay implements AutoCloseable {
  private static final int MAX_IN_FLIGHT = 100_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LinkFaults linkFaults;
  private final Map<InetSocketAddress, Integer> proxyNumbers = new HashMap<>();
  private final List<InetSocketAddress> proxyAddresses;
  private final Channel[] relayChannels;
  private int inFlight;

  /**
   * Function that replaces the content of a proxy's datagrams, by proxy number; null where they are
   * not changed.
   */
  private final UnaryOperator<byte[]>[] rewriters;

  /**
   * @param wire decides which datagrams are lost, delayed or duplicated
   * @param stands addresses of the relay's sockets: one for each proxy by number, then the one that
   *     forwards to all
   * @param proxies address at which each proxy listens and from which it sends, by number
   */
  DatagramRelay(LinkFaults wire, List<InetSocketAddress> stands, List<InetSocketAddress> proxies)
      throws InterruptedException {
    this.linkFaults = wire;
    this.proxyAddresses = proxies;
    this.relayChannels = new Channel[stands.size()];
    rewriters = newRewriters(proxies.size());
    for (int p = 0; p < proxies.size(); p++) {
      proxyNumbers.put(proxies.get(p), p);
    }
    for (int s = 0; s < stands.size(); s++) {
      int to = s;
      this.relayChannels[s] =
          new Bootstrap()
              .group(group)
              .channel(NioDatagramChannel.class)
              .handler(
                  new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                      Integer from = proxyNumbers.get(packet.sender());
                      if (from == null) {
                        return;
                      }
                      ByteBuf content =
                          rewriters[from] == null
                              ? packet.content()
                              : Unpooled.wrappedBuffer(
                                  rewriters[from].apply(ByteBufUtil.getBytes(packet.content())));
                      for (int p = 0; p < proxies.size(); p++) {
                        if (to == p || to == proxies.size()) {
                          forward(from, p, content);
                        }
                      }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                      // Sending to a closed port raises an error here; later datagrams may still
                      // arrive.
                    }
                  })
              .bind(stands.get(s))
              .sync()
              .channel();
    }
  }

  @SuppressWarnings({"unchecked", "rawtypes"}) // Java has no arrays of generic types
  private static UnaryOperator<byte[]>[] newRewriters(int n) {
    return new UnaryOperator[n];
  }

  /**
   * Replaces the content of a proxy's datagrams by the rewriter's result; null ends this. Call it
   * on the event loop.
   */
  void setRewriter(int proxy, UnaryOperator<byte[]> rewriter) {
    rewriters[proxy] = rewriter;
  }

  private void forward(int from, int to, ByteBuf content) {
    for (double delayMs :
        from == to
            ? new double[] {0}
            : linkFaults.arrivalDelaysMs(from, to, content.readableBytes())) {
      if (delayMs < 0.05) {
        deliver(from, to, content.copy());
      } else if (inFlight < MAX_IN_FLIGHT) {
        inFlight++;
        ByteBuf held = content.copy();
        loop.schedule(
            () -> {
              inFlight--;
              deliver(from, to, held);
            },
            (long) (delayMs * 1000),
            TimeUnit.MICROSECONDS);
      }
    }
  }

  private void deliver(int from, int to, ByteBuf content) {
    relayChannels[from].writeAndFlush(new DatagramPacket(content, proxyAddresses.get(to)));
  }

  /** Runs the task on the event loop, which is the only thread that may use {@link #linkFaults}. */
  <T> T runOnLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(10, TimeUnit.SECONDS);
  }

  LinkFaults linkFaults() {
    return linkFaults;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
