package cacheproxy.proxy;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Where operators call: one call to a connection, HTTP/1.1. It has a thread of its own, so that a
 * call is answered however late the proxy's event loop is, and so that its small files never hold
 * that loop up.
 */
final class ControlFront {
  /** What the proxy does for a call. Called on the control's thread. */
  interface Desk {
    /** Whether this process takes clients' requests now. */
    boolean ready();

    /** Has the figures as one JSON text; called back on any thread. */
    void stats(Consumer<String> then);

    /**
     * Has this proxy's view of its tier as one JSON text; called back on any thread. False: it is
     * no member.
     */
    boolean members(Consumer<String> then);

    /**
     * Has what this proxy shares with its tier as one JSON text; called back on any thread. False:
     * nothing is shared.
     */
    boolean shared(Consumer<String> then);

    /** Whether a node of this name was ever on the list. */
    boolean listed(String node);

    /** From now on just these are out by hand; {@code then} runs on any thread once that holds. */
    void out(Set<String> nodes, Runnable then);

    /** What this process holds now. */
    ProcessStatus holds();

    /**
     * What another process of this proxy that runs beside it holds; {@link ProcessStatus#ABSENT}:
     * none does.
     */
    void beside(ProcessStatus other);
  }

  /**
   * Calls at one time; with one more, the one that is open longest is closed. Guards descriptors
   * and memory.
   */
  static final int MOST_CALLS = 16;

  /** A call that is not whole after so long is closed: callers wait for a second. */
  static final long CALL_MS = 3000;

  /**
   * The shared files are looked at again after this; a node out is in use by the other process for
   * as long.
   */
  private static final long LOOK_MS = 100;

  /** Figures that the event loop has not given by then are answered as they last were. */
  private static final long FIGURES_MS = 600;

  private static final int MOST_BYTES = 4096;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, GuardedIo.factory(NioIoHandler.newFactory()));
  private final EventLoop thread = group.next();
  private final Desk desk;
  private final ArrayDeque<Channel> calls = new ArrayDeque<>();
  private final SharedFolder folder;
  private final Channel server;
  private String figures = "{}\n";
  private ProcessStatus beside;
  private boolean troubled;

  /**
   * Listens at once, so that one that is not ready can say so.
   *
   * @param folder shared with another process of this proxy; null: none
   */
  ControlFront(InetSocketAddress address, Path folder, Desk desk)
      throws InterruptedException, IOException {
    this.desk = desk;
    this.folder = new SharedFolder(folder);
    beside = this.folder.exchange(desk.holds());
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
                    enter(channel);
                  }
                })
            .bind(address)
            .await();
    if (!bound.isSuccess()) {
      throw new IOException("operators' calls at " + address + ": " + bound.cause().getMessage());
    }
    server = bound.channel();
  }

  /** What another process held when this one began. */
  ProcessStatus begunBeside() {
    return beside;
  }

  /**
   * The nodes that are out by now, and from here on each change of them, and whether another
   * process runs.
   */
  void follow() {
    thread
        .submit(
            () -> {
              look();
              thread.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
            })
        .syncUninterruptibly();
  }

  private void look() {
    try {
      ProcessStatus now = folder.exchange(desk.holds());
      if (!now.equals(beside)) {
        beside = now;
        desk.beside(now);
      }
      Set<String> out = folder.news();
      if (out != null) {
        desk.out(out, () -> {});
      }
      troubled = false;
    } catch (IOException | RuntimeException e) {
      if (!troubled) { // once, until it is well again
        troubled = true;
        System.err.println("control: the shared folder: " + e);
      }
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  void close() throws IOException {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    folder.close();
  }

  // ---- calls

  private void enter(Channel channel) {
    if (calls.size() >= MOST_CALLS) {
      calls.poll().close();
    }
    calls.add(channel);
    channel.closeFuture().addListener(f -> calls.remove(channel));
    thread.schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
    channel
        .pipeline()
        .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BYTES), new Call());
  }

  private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean begun;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (begun) {
        return; // one call to a connection
      }
      begun = true;
      if (request.decoderResult().isFailure()) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, "not HTTP\n");
        return;
      }
      String path = request.uri();
      int query = path.indexOf('?');
      path = query < 0 ? path : path.substring(0, query);
      String body = request.content().toString(StandardCharsets.ISO_8859_1).strip();
      HttpMethod method =
          switch (path) {
            case "/ops/readiness", "/ops/stats", "/ops/members", "/ops/shared" -> HttpMethod.GET;
            case "/ops/cache-nodes/down", "/ops/cache-nodes/up" -> HttpMethod.PUT;
            default -> null;
          };
      if (method == null) {
        answer(ctx, HttpResponseStatus.NOT_FOUND, "no such call\n");
      } else if (!request.method().equals(method)) {
        answer(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, "this call is a " + method + "\n");
      } else if (path.equals("/ops/readiness")) {
        boolean ready = desk.ready();
        answer(
            ctx,
            ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
            ready ? "ready\n" : "not ready\n");
      } else if (path.equals("/ops/stats")) {
        stats(ctx);
      } else if (path.equals("/ops/members")) {
        if (!desk.members(json -> thread.execute(() -> answer(ctx, HttpResponseStatus.OK, json)))) {
          answer(ctx, HttpResponseStatus.NOT_FOUND, "membership is off\n");
        }
      } else if (path.equals("/ops/shared")) {
        if (!desk.shared(json -> thread.execute(() -> answer(ctx, HttpResponseStatus.OK, json)))) {
          answer(ctx, HttpResponseStatus.NOT_FOUND, "nothing is shared\n");
        }
      } else {
        hand(ctx, body, path.endsWith("/down"));
      }
    }

    private void stats(ChannelHandlerContext ctx) {
      thread.schedule(
          () -> answer(ctx, HttpResponseStatus.OK, figures), FIGURES_MS, TimeUnit.MILLISECONDS);
      desk.stats(
          json ->
              thread.execute(
                  () -> {
                    figures = json;
                    answer(ctx, HttpResponseStatus.OK, json);
                  }));
    }

    /** The yes comes once the call stands in the log and the proxy goes by it. */
    private void hand(ChannelHandlerContext ctx, String node, boolean out) {
      if (!ManualEjectionLog.isNodeName(node)) {
        answer(ctx, HttpResponseStatus.BAD_REQUEST, "the body is a cache node's id\n");
        return;
      }
      if (!desk.listed(node)) {
        answer(ctx, HttpResponseStatus.NOT_FOUND, "no such cache node\n");
        return;
      }
      try {
        Set<String> all = folder.add(node, out);
        if (all.size() > ManualEjectionLog.MAX_EJECTED) {
          all = folder.add(node, false);
          answer(ctx, HttpResponseStatus.INSUFFICIENT_STORAGE, "too many are out\n");
        }
        desk.out(
            all,
            () ->
                thread.execute(
                    () ->
                        answer(
                            ctx,
                            HttpResponseStatus.OK,
                            node + (out ? " is out\n" : " is in use\n"))));
      } catch (IOException e) {
        System.err.println("control: " + node + (out ? " down: " : " up: ") + e);
        answer(
            ctx,
            HttpResponseStatus.INTERNAL_SERVER_ERROR,
            "the call can't be kept: " + e.getMessage() + "\n");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Once: what comes second finds the call's handler gone. */
  private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
    if (ctx.isRemoved()) {
      return;
    }
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, text.startsWith("{") ? "application/json" : "text/plain")
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONNECTION, "close");
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    ctx.pipeline().remove(ctx.handler());
  }
}
