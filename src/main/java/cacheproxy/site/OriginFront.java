package cacheproxy.site;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * The origin: few slots, writes with their effect, and copies that go where a read missed. On the
 * site's loop.
 */
final class OriginFront {
  private static final int MAX_BODY = 64 << 10;

  /** Of a read's work, for a write. */
  private static final double WRITE = 1.5;

  private static final String VALUE = "o".repeat(512);

  private record Job(
      ChannelHandlerContext ctx,
      boolean write,
      String key,
      String id,
      String idempotency,
      double workMs) {}

  private final Site site;
  private final ServiceQueue<Job> station;
  private final ValueStore repeats = new ValueStore(1, Site.KEYED_MS);

  OriginFront(Site site, ServiceQueue<Job> station) {
    this.site = site;
    this.station = station;
  }

  ChannelHandler[] connection() {
    return new ChannelHandler[] {
      new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY), new Connection()
    };
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private SelectTimes.Taken taken;

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
      taken = site.taken();
      site.ways().enter(ctx.channel(), NetworkPaths.To.NODES);
      super.channelActive(ctx);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      String id = request.headers().get("Req-Id", "");
      boolean write = request.method().equals(HttpMethod.PUT);
      String idempotency = null;
      for (String entry : request.headers().get("Req-Extra", "").split(",")) {
        idempotency = entry.startsWith("k=") ? entry.substring(2) : idempotency;
      }
      if (id.isEmpty()
          || !write && !request.method().equals(HttpMethod.GET)
          || request.uri().length() < 2) {
        say(ctx, HttpResponseStatus.BAD_REQUEST, "", false);
        return;
      }
      Job job =
          new Job(
              ctx,
              write,
              request.uri().substring(1),
              id,
              idempotency,
              site.draw(site.plan().fetchMs() * (write ? WRITE : 1)));
      synchronized (site.ledger()) {
        site.ledger().sent(id, "s-origin", site.cameAfterMs(taken), site.nowMs());
      }
      switch (station.offer(job)) {
        case BEGINS -> begin(job);
        case WAITS -> {}
        case TURNED_AWAY -> say(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void begin(Job job) {
    double now = site.nowMs();
    if (job.write() && repeats.takes(now, job.idempotency())) {
      synchronized (site.ledger()) {
        site.ledger().effect(job.id(), "s-origin", now);
      }
    }
    site.later(station.doneMs(now, job.workMs()) - now, () -> done(job));
  }

  /** It goes on with work that nobody waits for. */
  private void done(Job job) {
    if (job.write()) {
      site.nodes().forEach(n -> n.shelf().drop(job.key()));
      say(job.ctx(), HttpResponseStatus.OK, "receipt", false);
    } else {
      site.missed().fetched(job.id(), job.key());
      say(job.ctx(), HttpResponseStatus.OK, VALUE, false);
    }
    Job next = station.next();
    if (next != null) {
      begin(next);
    }
  }

  private void say(
      ChannelHandlerContext ctx, HttpResponseStatus status, String body, boolean declined) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length());
    if (declined) {
      response.headers().set("Srv-Declined", "1");
    }
    site.ways().pass(ctx.channel(), NetworkPaths.To.NODES, () -> ctx.writeAndFlush(response));
  }
}
