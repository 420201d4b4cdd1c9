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
 * Between the proxies: each one's address in {@code peers} is a socket here, so that a datagram to
 * it comes from the sender's own address and goes on from the socket that stands for the sender.
 * One more stands for all. Each ordered pair is a way of its own in {@link LinkFaults}. One loop;
 * what is under way is bounded.
 */
final class Relay implements AutoCloseable {
  private static final int MOST_UNDER_WAY = 100_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LinkFaults wire;
  private final Map<InetSocketAddress, Integer> senders = new HashMap<>();
  private final List<InetSocketAddress> proxies;
  private final Channel[] stands;
  private int underWay;

  /** What arrives in place of a proxy's datagrams, by its number; null: itself. */
  private final UnaryOperator<byte[]>[] liars;

  /**
   * @param stands one for each proxy, by number, and one for all behind them
   * @param proxies where each listens and sends from
   */
  Relay(LinkFaults wire, List<InetSocketAddress> stands, List<InetSocketAddress> proxies)
      throws InterruptedException {
    this.wire = wire;
    this.proxies = proxies;
    this.stands = new Channel[stands.size()];
    liars = newLiars(proxies.size());
    for (int p = 0; p < proxies.size(); p++) {
      senders.put(proxies.get(p), p);
    }
    for (int s = 0; s < stands.size(); s++) {
      int to = s;
      this.stands[s] =
          new Bootstrap()
              .group(group)
              .channel(NioDatagramChannel.class)
              .handler(
                  new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                      Integer from = senders.get(packet.sender());
                      if (from == null) {
                        return;
                      }
                      ByteBuf content =
                          liars[from] == null
                              ? packet.content()
                              : Unpooled.wrappedBuffer(
                                  liars[from].apply(ByteBufUtil.getBytes(packet.content())));
                      for (int p = 0; p < proxies.size(); p++) {
                        if (to == p || to == proxies.size()) {
                          carry(from, p, content);
                        }
                      }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                      // a port that nobody listens at says so; the next datagram may arrive
                    }
                  })
              .bind(stands.get(s))
              .sync()
              .channel();
    }
  }

  @SuppressWarnings({"unchecked", "rawtypes"}) // there are no arrays of generic types
  private static UnaryOperator<byte[]>[] newLiars(int n) {
    return new UnaryOperator[n];
  }

  /** Has a proxy's datagrams say something else; null: what they say. On the loop. */
  void liar(int proxy, UnaryOperator<byte[]> by) {
    liars[proxy] = by;
  }

  private void carry(int from, int to, ByteBuf content) {
    for (double at :
        from == to ? new double[] {0} : wire.arrivals(from, to, content.readableBytes())) {
      if (at < 0.05) {
        deliver(from, to, content.copy());
      } else if (underWay < MOST_UNDER_WAY) {
        underWay++;
        ByteBuf held = content.copy();
        loop.schedule(
            () -> {
              underWay--;
              deliver(from, to, held);
            },
            (long) (at * 1000),
            TimeUnit.MICROSECONDS);
      }
    }
  }

  private void deliver(int from, int to, ByteBuf content) {
    stands[from].writeAndFlush(new DatagramPacket(content, proxies.get(to)));
  }

  /** Does this with the wire, on the loop that owns it. */
  <T> T with(Callable<T> task) throws Exception {
    return loop.submit(task).get(10, TimeUnit.SECONDS);
  }

  LinkFaults wire() {
    return wire;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
