package cacheproxy.load;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A server in the generator's own process that answers every request at once with {@code HD}. A
 * load against it measures the limits of the generator itself.
 */
final class EchoServer implements AutoCloseable {
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final InetSocketAddress address;

  EchoServer() throws InterruptedException {
    address =
        (InetSocketAddress)
            new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childHandler(
                    new ChannelInitializer<>() {
                      @Override
                      protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new EchoHandler());
                      }
                    })
                .bind("127.0.0.1", 0)
                .sync()
                .channel()
                .localAddress();
  }

  InetSocketAddress address() {
    return address;
  }

  private static final class EchoHandler extends ByteToMessageDecoder {
    private int valueBytesToSkip;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (valueBytesToSkip > 0) {
        int count = Math.min(valueBytesToSkip, in.readableBytes());
        in.skipBytes(count);
        valueBytesToSkip -= count;
        return;
      }
      int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
      if (end < 0) {
        return;
      }
      String line =
          in.toString(in.readerIndex(), end - in.readerIndex(), StandardCharsets.ISO_8859_1)
              .strip();
      in.readerIndex(end + 1);
      String[] tokens = line.split(" ", 6);
      boolean write = tokens[0].equals("ms");
      valueBytesToSkip = write ? Integer.parseInt(tokens[2]) + 2 : 0;
      ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), "HD " + tokens[3] + " cecho\r\n"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
