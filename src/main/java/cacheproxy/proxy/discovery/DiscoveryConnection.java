package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A keep-alive HTTP connection to the discovery service that carries one call at a time. Confined
 * to the event loop.
 */
final class DiscoveryConnection {
  private static final int CONNECT_TIMEOUT_MS = 500;

  /** Enough for a list of some thousands of hosts; a larger response fails the call. */
  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  /** Callback for the outcome of one call. */
  interface ResponseHandler {
    /**
     * @param answer the JSON object of the response; empty if the call failed, the status was not
     *     200 or the body was not a JSON object
     */
    void onCompleted(Optional<JsonObject> answer);
  }

  /** Callback for the response time of each call that got a response, successful or not. */
  interface ResponseTimeListener {
    /**
     * @param elapsedMs time since the call began, in milliseconds
     * @param answered whether the status was 200; otherwise the service has rejected the call
     */
    void onResponse(double elapsedMs, boolean answered);
  }

  private final EventLoop loop;
  private final DiscoveryContext context;
  private final ResponseTimeListener responseTimes;
  private InetSocketAddress address;

  /** The open or connecting channel; null if there is none. */
  private Channel channel;

  /** The handler of the call in progress; null if there is no such call. */
  private ResponseHandler handler;

  /** The timeout task of the latest call; null before the first call. */
  private Future<?> timeout;

  private double callStartMs;
  private boolean timedOut;

  DiscoveryConnection(
      EventLoop loop,
      DiscoveryContext context,
      InetSocketAddress address,
      ResponseTimeListener responseTimes) {
    this.loop = loop;
    this.context = context;
    this.address = address;
    this.responseTimes = responseTimes;
  }

  /**
   * Sends a GET request. If another call is in progress, it is cancelled without notifying its
   * handler.
   *
   * @param timeoutMs the timeout of the call in milliseconds, including the time to connect
   */
  void get(String path, int timeoutMs, ResponseHandler whenCompleted) {
    if (handler != null) {
      close();
    }
    handler = whenCompleted;
    timedOut = false;
    callStartMs = context.nowMs();
    timeout = loop.schedule(this::onTimeout, timeoutMs, TimeUnit.MILLISECONDS);
    if (channel != null && channel.isActive()) {
      write(channel, path);
    } else {
      connect(path);
    }
  }

  /** Returns whether a call is in progress. */
  boolean isCallInProgress() {
    return handler != null;
  }

  /** Returns the age of the call in progress, in milliseconds; 0 if there is no such call. */
  double elapsedMs() {
    return handler == null ? 0 : context.nowMs() - callStartMs;
  }

  /**
   * Returns whether the latest call ended by its timeout, without a response or a disconnection.
   */
  boolean timedOut() {
    return timedOut;
  }

  /** Closes the connection as {@link #close} does, and uses another address for later calls. */
  void moveTo(InetSocketAddress newAddress) {
    close();
    address = newAddress;
  }

  /** Cancels the call in progress without notifying its handler, and closes the connection. */
  void close() {
    handler = null;
    if (timeout != null) {
      timeout.cancel(false);
    }
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  private void onTimeout() {
    timedOut = true;
    complete(Optional.empty());
  }

  private void connect(String path) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new Initializer())
            .connect(address);
    channel = connecting.channel();
    connecting.addListener(
        connected -> {
          if (connecting.channel() != channel) {
            return; // closed or replaced while connecting
          }
          if (connected.isSuccess()) {
            write(connecting.channel(), path);
          } else {
            complete(Optional.empty());
          }
        });
  }

  private void write(Channel connected, String path) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    request.headers().set(HttpHeaderNames.HOST, host);
    connected.writeAndFlush(request);
  }

  private void complete(Optional<JsonObject> answer) {
    ResponseHandler currentHandler = handler;
    if (answer.isEmpty()) {
      close();
    }
    if (currentHandler != null) {
      handler = null;
      timeout.cancel(false);
      currentHandler.onCompleted(answer);
    }
  }

  private Optional<JsonObject> parse(FullHttpResponse response) {
    if (!isOk(response) || !response.decoderResult().isSuccess()) {
      return Optional.empty();
    }
    try {
      String text = response.content().toString(StandardCharsets.UTF_8);
      return Optional.of(JsonParser.parseString(text).getAsJsonObject());
    } catch (RuntimeException e) { // Gson throws several exception types
      context.log("discovery: no JSON");
      return Optional.empty();
    }
  }

  private static boolean isOk(FullHttpResponse response) {
    return response.status().code() == HttpResponseStatus.OK.code();
  }

  /** Adds the HTTP handlers to the pipeline of a new connection. */
  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel newChannel) {
      newChannel
          .pipeline()
          .addLast(
              new HttpClientCodec(),
              new HttpObjectAggregator(MAX_RESPONSE_BYTES),
              new InboundHandler());
    }
  }

  /** Completes the call in progress when a response arrives or the connection is closed. */
  private final class InboundHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
      if (ctx.channel() != channel
          || response.status().code() < HttpResponseStatus.OK.code()) { // 1xx is not final
        return;
      }
      responseTimes.onResponse(elapsedMs(), isOk(response));
      Optional<JsonObject> answer = parse(response);
      if (!HttpUtil.isKeepAlive(response)) {
        channel = null;
        ctx.close();
      }
      complete(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        complete(Optional.empty());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
