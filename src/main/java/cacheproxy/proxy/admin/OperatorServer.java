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
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * HTTP/1.1 server for operators' calls, one call per connection. It runs on a separate event loop,
 * so that an overloaded proxy event loop does not block calls, and file access in the shared folder
 * does not block the proxy. Public methods may be called on any thread except the server's own
 * event loop.
 */
public final class OperatorServer implements Closeable {
  /**
   * The maximum number of open connections. A further connection closes the oldest one. This limits
   * descriptors and memory held by callers that never send a complete request.
   */
  public static final int MAX_OPEN_CALLS = 16;

  /** A connection is closed after this time even without a response. Callers time out after 1 s. */
  private static final long MAX_CALL_MS = 3000;

  /**
   * The interval between polls of the shared folder. The other process may keep using a node for
   * this long after an operator has ejected it through this process.
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
   * Opens the shared folder and starts to listen at once, so that the readiness call is answered
   * before the proxy is ready.
   *
   * @param sharedDirectory directory shared with another process of this proxy; empty if there is
   *     no shared folder
   * @param ioHandlers factory of the event loop's I/O handler
   * @throws IOException if the address or the directory is unusable, or two processes use the
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

  /**
   * Returns the status of the other process of this proxy at the time when this one opened the
   * shared folder.
   */
  public ProcessStatus otherProcessAtStart() {
    return otherAtStart;
  }

  /**
   * Starts to poll the shared folder until {@link #close}. Waits for the first poll, so that the
   * nodes that are already ejected have been passed to the proxy.
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

  /** Returns the table of request ids that both processes of this proxy use. */
  public ByteBuffer requestIds() {
    return folder.requestIds();
  }

  /** Returns the address at which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Closes all connections, shuts down the event loop and closes the shared folder. */
  @Override
  public void close() throws IOException {
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS).syncUninterruptibly();
    folder.close();
  }
}
