package cacheproxy.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/**
 * The remote end of a warm-up connection, on the same socket as the proxy's end: a TCP socket that
 * is connected to its own address (RFC 9293, section 3.5: simultaneous open) reads what it writes.
 * So the proxy's handlers, which follow this one in the pipeline, use real system calls without a
 * listening socket. Bytes written by the proxy are delivered to the remote end; bytes written by
 * the remote end go through the socket as well and are then passed to the proxy's handlers.
 */
final class WarmUpPeer extends ChannelDuplexHandler {
  /** The behaviour of the remote end. Each write of the proxy is delivered in one call. */
  interface FarEnd {
    void received(WarmUpPeer peer, String text);

    /** The proxy's handlers received all bytes of one {@link #send}. */
    default void delivered(WarmUpPeer peer) {}

    /** The connection was closed by either end. */
    default void closed(WarmUpPeer peer) {}
  }

  private record Segment(int bytes, boolean toProxy) {}

  private final FarEnd farEnd;

  /**
   * The writes in the socket's buffer, in order. They are bounded by the proxy's own limits on open
   * requests.
   */
  private final ArrayDeque<Segment> segments = new ArrayDeque<>();

  private final StringBuilder fromProxy = new StringBuilder();
  private ChannelHandlerContext ctx;
  private int consumedBytes;

  WarmUpPeer(FarEnd farEnd) {
    this.farEnd = farEnd;
  }

  /**
   * Opens a socket that is connected to itself, with this peer and the proxy's handlers in its
   * pipeline. To be called on the event loop. The future fails if the address is not local, or no
   * descriptor is free.
   */
  static ChannelFuture open(
      EventLoop loop,
      ByteBufAllocator allocator,
      InetSocketAddress address,
      WarmUpPeer peer,
      ChannelHandler... handlers) {
    ChannelFuture ready =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_LINGER, 0) // leaves no port in TIME_WAIT
            .handler(new HandlerInitializer(peer, new HandlerInitializer(handlers)))
            .register();
    Channel channel = ready.channel();
    channel.closeFuture().addListener(f -> peer.farEnd.closed(peer));
    if (ready.isSuccess()) {
      ready = channel.bind(new InetSocketAddress(address.getAddress(), 0));
    }
    if (ready.isSuccess()) {
      return channel.connect(channel.localAddress());
    }
    channel.close();
    return ready;
  }

  /** Sends the text to the proxy's handlers. */
  void send(String text) {
    ByteBuf buf = ctx.alloc().buffer(text.length());
    buf.writeCharSequence(text, StandardCharsets.ISO_8859_1);
    segments.add(new Segment(buf.readableBytes(), true));
    ctx.writeAndFlush(buf);
  }

  void close() {
    ctx.close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof ByteBuf buf && buf.isReadable()) {
      segments.add(new Segment(buf.readableBytes(), false));
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf in = (ByteBuf) message;
    try {
      while (in.isReadable() && !segments.isEmpty()) {
        Segment next = segments.peek();
        int n = Math.min(in.readableBytes(), next.bytes() - consumedBytes);
        consumedBytes += n;
        boolean complete = consumedBytes == next.bytes();
        if (complete) {
          segments.poll();
          consumedBytes = 0;
        }
        if (next.toProxy()) {
          context.fireChannelRead(in.readRetainedSlice(n));
          if (complete) {
            farEnd.delivered(this);
          }
        } else {
          fromProxy.append(in.readCharSequence(n, StandardCharsets.ISO_8859_1));
          if (complete) {
            String text = fromProxy.toString();
            fromProxy.setLength(0);
            farEnd.received(this, text);
          }
        }
      }
    } finally {
      in.release();
    }
  }
}
