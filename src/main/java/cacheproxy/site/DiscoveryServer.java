package cacheproxy.site;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Discovery over HTTP: serves the endpoint list and watches. A watch is a long poll that is
 * answered once the list is newer than the version that the caller knows, or when its timeout ends.
 * Used on the site's event loop only.
 */
final class DiscoveryServer {
  private static final double MAX_LONG_POLL_MS = 60_000;

  /** Cost of a call besides the lines of its answer, in lines of the endpoint list. */
  private static final int LINES_PER_CALL = 31;

  /** Calls that would wait longer than this in the queue are answered with status 503. */
  private static final double MAX_QUEUE_MS = 2000;

  private final Site site;
  private final EndpointRegistry registry;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Set<Channel> openConnections = new LinkedHashSet<>();
  private List<Channel> listeners = List.of();
  private double busyUntilMs;
  private boolean unreachable;

  private record Watch(ChannelHandlerContext ctx, long sinceVersion) {}

  DiscoveryServer(Site site, EndpointRegistry registry) {
    this.site = site;
    this.registry = registry;
  }

  void listening(List<Channel> bound) {
    listeners = bound;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listeners.get(0).localAddress();
  }

  ChannelHandler[] newConnectionHandlers() {
    return new ChannelHandler[] {
      new HttpServerCodec(), new HttpObjectAggregator(1 << 12), new Connection()
    };
  }

  /**
   * Makes discovery unreachable, or reachable again. While it is unreachable, open connections and
   * their watches end and new connections are closed at once.
   */
  void setUnreachable(boolean isUnreachable) {
    unreachable = isUnreachable;
    if (isUnreachable) {
      watches.clear();
      Set.copyOf(openConnections).forEach(Channel::close);
    } else {
      busyUntilMs = site.nowMs();
    }
  }

  /**
   * Queues a call. Calls are answered one after another at the rate of {@link
   * Site.Plan#discoveryLinesPerS}.
   */
  private void enqueue(ChannelHandlerContext ctx, Supplier<String> answer) {
    double now = site.nowMs();
    if (busyUntilMs - now > MAX_QUEUE_MS) {
      respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      return;
    }
    String text =
        site.rewriteForProxy(
            Loopback.proxyAt((InetSocketAddress) ctx.channel().localAddress()), answer.get());
    int lines = LINES_PER_CALL + text.split("\"host\"", -1).length - 1;
    busyUntilMs = Math.max(now, busyUntilMs) + lines * 1000.0 / site.plan().discoveryLinesPerS();
    site.schedule(busyUntilMs - now, () -> respond(ctx, HttpResponseStatus.OK, text));
  }

  /** Answers all watches after a change of the list. */
  void notifyWatches() {
    Set<Watch> due = Set.copyOf(watches);
    watches.clear();
    due.forEach(w -> enqueue(w.ctx(), () -> registry.changesSince(w.sinceVersion())));
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      QueryStringDecoder uri = new QueryStringDecoder(request.uri());
      if (!uri.path().equals("/discovery/hosts")) {
        respond(ctx, HttpResponseStatus.NOT_FOUND, "");
        return;
      }
      List<String> since = uri.parameters().get("since");
      if (since == null) {
        enqueue(ctx, registry::fullList);
        return;
      }
      try {
        long knownVersion = Long.parseLong(since.get(0));
        double timeoutMs =
            Double.parseDouble(uri.parameters().getOrDefault("timeout_ms", List.of("0")).get(0));
        if (knownVersion != registry.version()) {
          enqueue(ctx, () -> registry.changesSince(knownVersion));
          return;
        }
        Watch watch = new Watch(ctx, knownVersion);
        watches.add(watch);
        site.schedule(
            Math.max(0, Math.min(MAX_LONG_POLL_MS, timeoutMs)),
            () -> {
              if (watches.remove(watch)) {
                enqueue(ctx, () -> registry.changesSince(knownVersion));
              }
            });
      } catch (NumberFormatException e) {
        respond(ctx, HttpResponseStatus.BAD_REQUEST, "");
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
      openConnections.add(ctx.channel());
      site.networkPaths().register(ctx.channel(), NetworkPaths.Destination.LISTS);
      if (unreachable) {
        ctx.close();
      }
      super.channelActive(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
      super.channelInactive(ctx);
      openConnections.remove(ctx.channel());
      watches.removeIf(w -> w.ctx() == ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    site.networkPaths()
        .writeOrHold(
            ctx.channel(), NetworkPaths.Destination.LISTS, () -> ctx.writeAndFlush(response));
  }
}
