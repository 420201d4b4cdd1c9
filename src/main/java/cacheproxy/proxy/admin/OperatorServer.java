package cacheproxy.proxy.admin;

import cacheproxy.admin.ProcessStatus;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The operators' HTTP/1.1 server, one call to a connection. It has an event loop of its own, so
 * that a call is answered however late the proxy's is, and so that the shared folder's files never
 * delay that one. Public methods may be called on any thread but that event loop's.
 */
public final class OperatorServer implements Closeable {
  /**
   * Most open calls; with one more, the oldest is closed. Guards descriptors and memory: callers
   * that send no complete call lose theirs to the next.
   */
  public static final int MAX_OPEN_CALLS = 16;

  /** A call that is not answered after this time is closed; callers wait for a second. */
  private static final long MAX_CALL_MS = 3000;

  /**
   * Between polls of the shared folder. For as long the other process may use a node that has been
   * ejected through this one.
   */
  private static final long POLL_INTERVAL_MS = 100;

  private static final int MAX_BODY_BYTES = 4096;

  private static final long SHUTDOWN_TIMEOUT_SECONDS = 1;

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final ProxyOperations operations;
  private final SharedFolder folder;
  private final LatestMetrics metrics;
  private final ProcessStatus otherAtStart;
  private final ArrayDeque<Channel> openCalls = new ArrayDeque<>();
  private final Channel listener;

  /**
   * Opens the shared folder and listens at once, so that a process that is not ready can say so.
   *
   * @param sharedDirectory shared with another process of this proxy; empty: nothing is
   * @param ioHandlers makes the event loop's I/O handler
   * @throws IOException where the address or the directory can't be used, or two processes use the
   *     directory already
   */
  public OperatorServer(
      InetSocketAddress address,
      Optional<Path> sharedDirectory,
      ProxyOperations operations,
      IoHandlerFactory ioHandlers)
      throws InterruptedException, IOException {
    group = new MultiThreadIoEventLoopGroup(1, ioHandlers);
    loop = group.next();
    this.operations = operations;
    metrics = new LatestMetrics(loop, operations.metrics());
    folder = SharedFolder.open(sharedDirectory);
    otherAtStart = folder.exchange(operations.status());
    listener = bind(address);
  }

  private Channel bind(InetSocketAddress address) throws InterruptedException, IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(address)
            .await();
    if (!bound.isSuccess()) {
      Throwable cause = bound.cause();
      throw new IOException("operators' calls at " + address + ": " + cause.getMessage(), cause);
    }
    return bound.channel();
  }

  private void accept(Channel channel) {
    if (openCalls.size() >= MAX_OPEN_CALLS) {
      openCalls.remove().close();
    }
    openCalls.add(channel);
    channel.closeFuture().addListener(closed -> openCalls.remove(channel));
    loop.schedule(() -> channel.close(), MAX_CALL_MS, TimeUnit.MILLISECONDS);
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_BODY_BYTES),
            new OperatorCallHandler(operations, metrics, folder));
  }

  /** Returns what another process of this proxy reported when this one opened the folder. */
  public ProcessStatus otherProcessAtStart() {
    return otherAtStart;
  }

  /**
   * Polls the shared folder until {@link #close}. When this returns, the proxy has been given the
   * nodes that are ejected already.
   */
  public void startPolling() {
    SharedFolderPoller poller = new SharedFolderPoller(folder, operations, otherAtStart);
    loop.submit(
            () -> {
              poller.poll();
              loop.scheduleWithFixedDelay(
                  poller::poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
            })
        .syncUninterruptibly();
  }

  /** Returns the address that it listens at. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Ends the event loop with all connections, and releases the shared folder. */
  @Override
  public void close() throws IOException {
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    folder.close();
  }
}
