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

/** Discovery: the whole list, and watches that wait for what is newer. On the site's loop. */
final class DiscoveryFront {
  private static final double MOST_WAIT_MS = 60_000;

  /** A call costs so many lines besides those of its answer. */
  private static final int CALL_LINES = 31;

  /** Who would wait longer for its turn is sent away. */
  private static final double MOST_QUEUE_MS = 2000;

  private final Site site;
  private final EndpointRegistry roster;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Set<Channel> open = new LinkedHashSet<>();
  private List<Channel> listeners = List.of();
  private double busyUntil;
  private boolean out;

  private record Watch(ChannelHandlerContext ctx, long since) {}

  DiscoveryFront(Site site, EndpointRegistry roster) {
    this.site = site;
    this.roster = roster;
  }

  void bound(List<Channel> at) {
    listeners = at;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listeners.get(0).localAddress();
  }

  ChannelHandler[] connection() {
    return new ChannelHandler[] {
      new HttpServerCodec(), new HttpObjectAggregator(1 << 12), new Connection()
    };
  }

  /**
   * From now on it is out of reach, or back: connections end, watches with them, and new ones too.
   */
  void out(boolean is) {
    out = is;
    if (is) {
      watches.clear();
      Set.copyOf(open).forEach(Channel::close);
    } else {
      busyUntil = site.nowMs();
    }
  }

  /** Works through calls in turn, so many lines a second. */
  private void inTurn(ChannelHandlerContext ctx, Supplier<String> answer) {
    double now = site.nowMs();
    if (busyUntil - now > MOST_QUEUE_MS) {
      say(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "");
      return;
    }
    String text =
        site.seenFrom(
            Loopback.proxyAt((InetSocketAddress) ctx.channel().localAddress()), answer.get());
    int lines = CALL_LINES + text.split("\"host\"", -1).length - 1;
    busyUntil = Math.max(now, busyUntil) + lines * 1000.0 / site.plan().linesPerS();
    site.later(busyUntil - now, () -> say(ctx, HttpResponseStatus.OK, text));
  }

  /** The list has changed: all who wait are told. */
  void changed() {
    Set<Watch> told = Set.copyOf(watches);
    watches.clear();
    told.forEach(w -> inTurn(w.ctx(), () -> roster.since(w.since())));
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      QueryStringDecoder uri = new QueryStringDecoder(request.uri());
      if (!uri.path().equals("/discovery/hosts")) {
        say(ctx, HttpResponseStatus.NOT_FOUND, "");
        return;
      }
      List<String> since = uri.parameters().get("since");
      if (since == null) {
        inTurn(ctx, roster::whole);
        return;
      }
      try {
        long seen = Long.parseLong(since.get(0));
        double wait =
            Double.parseDouble(uri.parameters().getOrDefault("timeout_ms", List.of("0")).get(0));
        if (seen != roster.version()) {
          inTurn(ctx, () -> roster.since(seen));
          return;
        }
        Watch watch = new Watch(ctx, seen);
        watches.add(watch);
        site.later(
            Math.max(0, Math.min(MOST_WAIT_MS, wait)),
            () -> {
              if (watches.remove(watch)) {
                inTurn(ctx, () -> roster.since(seen));
              }
            });
      } catch (NumberFormatException e) {
        say(ctx, HttpResponseStatus.BAD_REQUEST, "");
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
      open.add(ctx.channel());
      site.ways().enter(ctx.channel(), NetworkPaths.To.LISTS);
      if (out) {
        ctx.close();
      }
      super.channelActive(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
      super.channelInactive(ctx);
      open.remove(ctx.channel());
      watches.removeIf(w -> w.ctx() == ctx);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void say(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    site.ways().pass(ctx.channel(), NetworkPaths.To.LISTS, () -> ctx.writeAndFlush(response));
  }
}
