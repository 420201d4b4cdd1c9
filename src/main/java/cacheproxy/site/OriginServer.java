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
 * The origin over HTTP, with few slots. A write takes effect here and removes the key from all
 * cache nodes. A read also stores the value at the cache nodes at which the same request missed.
 * Used on the site's event loop only.
 */
final class OriginServer {
  private static final int MAX_BODY_BYTES = 64 << 10;

  /** Mean work of a write relative to that of a read. */
  private static final double WRITE_WORK_FACTOR = 1.5;

  private static final String VALUE = "o".repeat(512);

  private record Job(
      ChannelHandlerContext ctx,
      boolean write,
      String key,
      String id,
      String idempotencyKey,
      double workMs) {}

  private final Site site;
  private final ServiceQueue<Job> queue;
  private final ValueStore idempotencyKeys = new ValueStore(1, Site.IDEMPOTENCY_WINDOW_MS);

  OriginServer(Site site, ServiceQueue<Job> queue) {
    this.site = site;
    this.queue = queue;
  }

  ChannelHandler[] newConnectionHandlers() {
    return new ChannelHandler[] {
      new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Connection()
    };
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private SelectTimes.AcceptedConnection accepted;

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
      accepted = site.connectionAccepted();
      site.networkPaths().register(ctx.channel(), NetworkPaths.Destination.NODES);
      super.channelActive(ctx);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      String id = request.headers().get("Req-Id", "");
      boolean write = request.method().equals(HttpMethod.PUT);
      String idempotencyKey = null;
      for (String entry : request.headers().get("Req-Extra", "").split(",")) {
        idempotencyKey = entry.startsWith("k=") ? entry.substring(2) : idempotencyKey;
      }
      if (id.isEmpty()
          || !write && !request.method().equals(HttpMethod.GET)
          || request.uri().length() < 2) {
        respond(ctx, HttpResponseStatus.BAD_REQUEST, "", false);
        return;
      }
      Job job =
          new Job(
              ctx,
              write,
              request.uri().substring(1),
              id,
              idempotencyKey,
              site.drawWorkMs(site.plan().originReadMs() * (write ? WRITE_WORK_FACTOR : 1)));
      synchronized (site.ledger()) {
        site.ledger()
            .arrivedAtServer(id, "s-origin", site.earliestArrivalMs(accepted), site.nowMs());
      }
      switch (queue.offer(job)) {
        case STARTED -> begin(job);
        case QUEUED -> {}
        case REJECTED -> respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void begin(Job job) {
    double now = site.nowMs();
    if (job.write() && idempotencyKeys.recordIfNew(now, job.idempotencyKey())) {
      synchronized (site.ledger()) {
        site.ledger().tookEffect(job.id(), "s-origin", now);
      }
    }
    site.schedule(queue.start(now, job.workMs()) - now, () -> complete(job));
  }

  /** Completes a job, even if its client has closed the connection, and starts the next one. */
  private void complete(Job job) {
    if (job.write()) {
      site.nodes().forEach(n -> n.store().remove(job.key()));
      respond(job.ctx(), HttpResponseStatus.OK, "receipt", false);
    } else {
      site.pendingFills().fill(job.id(), job.key());
      respond(job.ctx(), HttpResponseStatus.OK, VALUE, false);
    }
    Job next = queue.next();
    if (next != null) {
      begin(next);
    }
  }

  private void respond(
      ChannelHandlerContext ctx, HttpResponseStatus status, String body, boolean declined) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length());
    if (declined) {
      response.headers().set("Srv-Declined", "1");
    }
    site.networkPaths()
        .writeOrHold(
            ctx.channel(), NetworkPaths.Destination.NODES, () -> ctx.writeAndFlush(response));
  }
}
