package cacheproxy.proxy.admin;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ManualEjectionLog.Action;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;

/**
 * Handles the single HTTP call of an operator's connection, which is closed after the response.
 * Confined to the operator server's event loop.
 */
final class OperatorCallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private final ProxyOperations operations;
  private final LatestMetrics metrics;
  private final SharedFolder folder;
  private boolean requestReceived;

  OperatorCallHandler(ProxyOperations operations, LatestMetrics metrics, SharedFolder folder) {
    this.operations = operations;
    this.metrics = metrics;
    this.folder = folder;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (requestReceived) {
      return; // only the first request of a connection is handled
    }
    requestReceived = true;
    if (request.decoderResult().isFailure()) {
      respond(ctx, HttpResponseStatus.BAD_REQUEST, "not HTTP\n");
      return;
    }
    Optional<OperatorRoute> route = OperatorRoute.ofTarget(request.uri());
    if (route.isEmpty()) {
      respond(ctx, HttpResponseStatus.NOT_FOUND, "no such call\n");
    } else if (!request.method().name().equals(route.get().method())) {
      String text = "this call is a " + route.get().method() + "\n";
      respond(ctx, HttpResponseStatus.METHOD_NOT_ALLOWED, text);
    } else {
      handle(ctx, route.get(), request.content().toString(StandardCharsets.ISO_8859_1).strip());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  private void handle(ChannelHandlerContext ctx, OperatorRoute route, String body) {
    switch (route) {
      case READINESS -> respondReadiness(ctx);
      case METRICS -> metrics.read(json -> respond(ctx, HttpResponseStatus.OK, json));
      case MEMBERSHIP_VIEW -> respondView(ctx, operations.membershipView(), "membership is off\n");
      case SHARED_STATE_VIEW ->
          respondView(ctx, operations.sharedStateView(), "nothing is shared\n");
      case EJECT_NODE -> changeEjection(ctx, body, Action.EJECT);
      case REINSTATE_NODE -> changeEjection(ctx, body, Action.REINSTATE);
    }
  }

  private void respondReadiness(ChannelHandlerContext ctx) {
    if (operations.isReady()) {
      respond(ctx, HttpResponseStatus.OK, "ready\n");
    } else {
      respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
    }
  }

  private static void respondView(
      ChannelHandlerContext ctx, Optional<ProxyOperations.JsonSource> view, String textIfAbsent) {
    if (view.isEmpty()) {
      respond(ctx, HttpResponseStatus.NOT_FOUND, textIfAbsent);
      return;
    }
    view.get()
        .read(json -> ctx.executor().execute(() -> respond(ctx, HttpResponseStatus.OK, json)));
  }

  private void changeEjection(ChannelHandlerContext ctx, String node, Action action) {
    if (!ManualEjectionLog.isNodeName(node)) {
      respond(ctx, HttpResponseStatus.BAD_REQUEST, "the body is a cache node's id\n");
      return;
    }
    if (!operations.isKnownNode(node)) {
      respond(ctx, HttpResponseStatus.NOT_FOUND, "no such cache node\n");
      return;
    }
    try {
      recordEjection(ctx, node, action);
    } catch (IOException e) {
      System.err.println("control: " + node + " " + action.keyword() + ": " + e);
      String text = "the call can't be kept: " + e.getMessage() + "\n";
      respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, text);
    }
  }

  /**
   * Records an ejection or reinstatement and responds once the proxy has applied it. An ejection
   * above the limit is reverted and rejected.
   */
  private void recordEjection(ChannelHandlerContext ctx, String node, Action action)
      throws IOException {
    Set<String> ejectedNodes = folder.append(node, action);
    if (ejectedNodes.size() > ManualEjectionLog.MAX_EJECTED) {
      operations.setEjectedNodes(folder.append(node, Action.REINSTATE), () -> {});
      respond(ctx, HttpResponseStatus.INSUFFICIENT_STORAGE, "too many are out\n");
      return;
    }
    String text = node + (action == Action.EJECT ? " is out\n" : " is in use\n");
    operations.setEjectedNodes(
        ejectedNodes,
        () -> ctx.executor().execute(() -> respond(ctx, HttpResponseStatus.OK, text)));
  }

  /**
   * Sends the response and closes the connection. Removes this handler, so that a second response
   * is dropped.
   */
  private static void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
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
