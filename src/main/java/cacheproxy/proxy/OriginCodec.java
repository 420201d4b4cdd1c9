package cacheproxy.proxy;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.proxy.Exchange.Attempt;
import cacheproxy.proxy.Exchange.Command;
import cacheproxy.routing.RoutingApi.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * HTTP/1.1, as a client of the origin. As with cache nodes, a response is passed on only once it is
 * complete, unless it is a long value that is streamed. A body carries no terminator, so a stated
 * length that is too short shows only by the bytes that follow it: before a response counts as
 * complete, everything that has arrived on its connection is read.
 */
final class OriginCodec extends SimpleChannelInboundHandler<HttpObject>
    implements UpstreamConnection.Codec {
  private static final String REQUEST_ID_HEADER = "Req-Id";

  /** How a further response begins; anything else behind a body may be the rest of that body. */
  private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  private final UpstreamConnection connection;
  private final Dispatcher dispatcher;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private HttpResponse response;

  /** The body as far as it has been read; null if no response has begun. */
  private ByteBuf body;

  /** The long value that is being forwarded, and its remaining bytes; null if there is none. */
  private StreamedResponse streamedResponse;

  private long bytesLeft;

  /** The last byte of the long value and its line terminator; null until it has arrived. */
  private ByteBuf streamEnd;

  /** Whether the response is complete by its stated length, but bytes behind it may be unread. */
  private boolean awaitingEnd;

  /** Whether the body is read and discarded. */
  private boolean skippingBody;

  /** Bytes of the memory budget reserved for the body. */
  private int reservedBytes;

  private boolean protocolFailed;

  /** Whether part of a response has been read, even if only part of its head. */
  private boolean midResponse;

  private OriginCodec(UpstreamConnection connection) {
    this.connection = connection;
    this.dispatcher = connection.dispatcher();
    connection.setCodec(this);
  }

  static ChannelHandler[] handlers(UpstreamConnection connection) {
    OriginCodec codec = new OriginCodec(connection);
    return new ChannelHandler[] {
      codec.new InputGuard(), new HttpRequestEncoder(), codec.decoder, codec
    };
  }

  /** The HTTP parser, which also shows the bytes behind a response. */
  private static final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 8192;

    ResponseDecoder() {
      super(MetaCodec.MAX_LINE_BYTES, MAX_HEAD_BYTES, MetaCodec.MAX_REQUEST_VALUE_BYTES);
    }

    /** The received bytes that have not been parsed. */
    ByteBuf unparsed() {
      return internalBuffer();
    }
  }

  /**
   * Records received bytes before the HTTP parser, and rejects those that arrive while no attempt
   * is in flight or behind a complete response.
   */
  private final class InputGuard extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (connection.nextAttempt() == null) {
        // Input without an attempt in flight is an error even before its message is complete, as
        // the next response would be appended to it.
        ((ByteBuf) message).release();
        if (!protocolFailed) {
          failProtocol("answer to nothing");
        }
        return;
      }
      if (awaitingEnd) {
        endWithSurplus((ByteBuf) message);
        ((ByteBuf) message).release();
        return;
      }
      midResponse = true;
      connection.bytesRead(((ByteBuf) message).readableBytes());
      // The HTTP parser buffers an incomplete head but does not expose the buffer's size, so the
      // size of the last read is used.
      connection.account().setReserved(BufferPurpose.INPUT, ((ByteBuf) message).capacity());
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public ChannelFuture write(
      Channel channel,
      Attempt attempt,
      InetSocketAddress dial,
      long deadlineMs,
      boolean deferLastByte) {
    HttpRequest request;
    HttpContent firstPart = null;
    if (attempt.exchange == null) {
      String path = dispatcher.probesLoad() ? "/metrics/load" : "/alive";
      request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    } else {
      Command command = attempt.exchange.command;
      String path = "/" + URLEncoder.encode(command.key, StandardCharsets.ISO_8859_1);
      int length = valueLength(command);
      HttpMethod method = command.write ? HttpMethod.PUT : HttpMethod.GET;
      if (deferLastByte) {
        request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, path);
        firstPart = new DefaultHttpContent(command.value.retainedSlice(0, length - 1));
      } else {
        request =
            new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                path,
                command.write ? command.value.retainedSlice(0, length) : Unpooled.EMPTY_BUFFER);
      }
      request
          .headers()
          .set(REQUEST_ID_HEADER, command.id)
          .set("Req-Extra", command.extras(deadlineMs));
      if (command.write) {
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    }
    request
        .headers()
        .set(HttpHeaderNames.HOST, dial.getAddress().getHostAddress() + ":" + dial.getPort());
    if (firstPart == null) {
      return channel.writeAndFlush(request);
    }
    channel.write(request);
    return channel.writeAndFlush(firstPart);
  }

  /** The length of the value without its line terminator. */
  private static int valueLength(Command command) {
    return command.write ? command.value.readableBytes() - 2 : 0;
  }

  @Override
  public boolean canDeferLastByte(Attempt attempt) {
    return valueLength(attempt.exchange.command) > 0;
  }

  @Override
  public ChannelFuture writeLastByte(Channel channel, Attempt attempt) {
    Command command = attempt.exchange.command;
    return channel.writeAndFlush(
        new DefaultLastHttpContent(command.value.retainedSlice(valueLength(command) - 1, 1)));
  }

  @Override
  public boolean isMidResponse() {
    return midResponse;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (protocolFailed) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      failProtocol("malformed HTTP message");
      return;
    }
    if (message instanceof HttpResponse head) {
      beginResponse(ctx, head);
    }
    if (response != null && message instanceof HttpContent content) {
      if (streamedResponse != null) {
        forwardStream(ctx, content.content());
      } else if (!skippingBody) {
        appendBody(content.content());
      }
      if (!protocolFailed && content instanceof LastHttpContent) {
        bodyComplete(ctx);
      }
    }
  }

  /** The body has its stated length, or the origin has ended the connection behind it. */
  private void bodyComplete(ChannelHandlerContext ctx) {
    awaitingEnd = true;
    midResponse = false;
    HttpResponse ending = response;
    ByteBuf surplus = decoder.unparsed();
    if (surplus.isReadable()) {
      endWithSurplus(surplus);
    } else {
      ctx.executor().execute(() -> completeAfterReading(ending));
    }
  }

  private void completeAfterReading(HttpResponse ending) {
    if (awaitingEnd && response == ending) {
      connection.readAvailableInput(); // calls endWithSurplus() if there is any
    }
    if (awaitingEnd && response == ending) {
      completeIfAwaitingEnd(false);
    }
  }

  /**
   * Ends a response that more bytes have followed. If they begin another response, such as a
   * duplicate, the first one is complete. Otherwise they may be the rest of a body whose stated
   * length is too short, which is malformed.
   */
  private void endWithSurplus(ByteBuf surplus) {
    if (beginsResponse(surplus)) {
      completeIfAwaitingEnd(true);
    } else {
      failProtocol("body longer than its declared length");
    }
  }

  private static boolean beginsResponse(ByteBuf bytes) {
    if (bytes.readableBytes() < STATUS_LINE_START.length) {
      return false;
    }
    for (int i = 0; i < STATUS_LINE_START.length; i++) {
      if (bytes.getByte(bytes.readerIndex() + i) != STATUS_LINE_START[i]) {
        return false;
      }
    }
    return true;
  }

  private void beginResponse(ChannelHandlerContext ctx, HttpResponse head) {
    Attempt attempt = connection.nextAttempt();
    if (head.status().code() < 200) {
      response = null;
      midResponse = false; // an interim response; the final one is still to come
      return;
    }
    String id = head.headers().get(REQUEST_ID_HEADER);
    long length = HttpUtil.getContentLength(head, -1L);
    if (attempt == null) {
      failProtocol("answer to nothing");
    } else if (head.headers().entries().stream().anyMatch(h -> h.getValue().isEmpty())) {
      // Netty's parser turns a line that is not a header into a header without a value. As a
      // consequence, the responses of an origin that sends empty headers are rejected as
      // malformed.
      failProtocol("header without a value");
    } else if (id != null && attempt.exchange != null && !id.equals(attempt.exchange.command.id)) {
      failProtocol("answer to another request");
    } else if (length < 0 && !HttpUtil.isTransferEncodingChunked(head) && !closesConnection(head)
        || length > MetaCodec.MAX_RESPONSE_VALUE_BYTES) {
      failProtocol(
          "response without length or too long: "
              + head.status()
              + " "
              + length
              + " "
              + head.headers().entries());
    } else if (length > MetaCodec.MAX_BUFFERED_VALUE_BYTES
        && head.status().code() == 200
        && attempt.exchange != null
        && !attempt.exchange.command.write) {
      response = head;
      bytesLeft = length;
      streamedResponse =
          connection.beginStreaming(
              MetaCodec.asciiBuffer(
                  ctx.alloc(), MetaCodec.valueHeader((int) length, attempt.exchange.command.id)));
      skippingBody = streamedResponse == null;
    } else {
      reservedBytes = (int) Math.max(0, length);
      if (!connection.account().tryReserve(BufferPurpose.UPSTREAM_RESPONSE, reservedBytes)) {
        reservedBytes = 0;
        failProtocol("no room");
        return;
      }
      response = head;
      body = ctx.alloc().buffer(reservedBytes);
    }
  }

  /**
   * Forwards the body as it arrives, except for its last byte, which is forwarded with the line
   * terminator of the client's protocol once the response has ended. A client can therefore tell
   * that a value was cut off.
   */
  private void forwardStream(ChannelHandlerContext ctx, ByteBuf part) {
    bytesLeft -= part.readableBytes();
    if (bytesLeft < 0) {
      failProtocol("body longer than its declared length");
      return;
    }
    boolean last = part.isReadable() && bytesLeft == 0;
    int length = last ? part.readableBytes() - 1 : part.readableBytes();
    if (length > 0) {
      connection.forwardPart(streamedResponse, ctx.alloc().buffer(length).writeBytes(part, length));
    }
    if (last && !protocolFailed) { // forwardPart() may have closed this connection
      streamEnd = ctx.alloc().buffer(3).writeBytes(part).writeByte('\r').writeByte('\n');
    }
  }

  /**
   * Whether the end of the connection ends the body, as announced by the origin (RFC 9112, section
   * 6.3, case 8).
   */
  private static boolean closesConnection(HttpResponse head) {
    return head.headers().containsValue(HttpHeaderNames.CONNECTION, "close", true);
  }

  private void appendBody(ByteBuf part) {
    int more = body.readableBytes() + part.readableBytes() - reservedBytes;
    if (reservedBytes + more > MetaCodec.MAX_RESPONSE_VALUE_BYTES) {
      failProtocol("body too long");
    } else if (more > 0
        && !connection.account().tryReserve(BufferPurpose.UPSTREAM_RESPONSE, more)) {
      failProtocol("no room");
    } else {
      reservedBytes += Math.max(0, more);
      body.writeBytes(part);
    }
  }

  private void completeIfAwaitingEnd(boolean surplus) {
    if (awaitingEnd) {
      awaitingEnd = false;
      complete(surplus || !HttpUtil.isKeepAlive(response));
      if (connection.nextAttempt() == null) {
        connection.account().setReserved(BufferPurpose.INPUT, 0);
      }
    }
  }

  /**
   * Passes on the response.
   *
   * @param surplus whether the connection can't be used again
   */
  private void complete(boolean surplus) {
    HttpResponse received = response;
    Attempt attempt = connection.nextAttempt();
    float[] report = dispatcher.parseLoadReport(received.headers().get("Srv-Load"));
    if (streamEnd != null) {
      ByteBuf end = streamEnd;
      streamEnd = null;
      connection.forwardPart(streamedResponse, end);
      if (protocolFailed) {
        return; // forwardPart() has closed this connection
      }
    }
    if (streamedResponse != null || skippingBody) {
      discardResponse();
      connection.responseComplete(Outcome.OK, 0, report, null, surplus);
      return;
    }
    ByteBuf content = body.retain();
    discardResponse();
    int code = received.status().code();
    try {
      if (attempt.exchange == null) {
        connection.responseComplete(
            code == 200 ? Outcome.OK : Outcome.ERROR, 0, report, null, surplus);
      } else if (code == 200) {
        ByteBuf answer = clientAnswer(content.alloc(), attempt.exchange.command, content);
        if (answer != null) {
          connection.responseComplete(Outcome.OK, 0, report, answer, surplus);
        }
      } else {
        boolean declined =
            (code == 503 || code == 504) && "1".equals(received.headers().get("Srv-Declined"));
        connection.responseComplete(
            declined ? Outcome.FULL : Outcome.ERROR, 0, report, null, surplus);
      }
    } finally {
      content.release();
    }
  }

  /** The answer for the client; null if the body is not a valid receipt. */
  private ByteBuf clientAnswer(ByteBufAllocator alloc, Command command, ByteBuf content) {
    if (command.write) {
      String receipt = content.toString(StandardCharsets.ISO_8859_1).trim();
      if (!MetaCodec.isToken(receipt)) {
        failProtocol("missing or invalid receipt");
        return null;
      }
      return MetaCodec.asciiBuffer(alloc, MetaCodec.storedLine(command.id, receipt));
    }
    String head = MetaCodec.valueHeader(content.readableBytes(), command.id);
    ByteBuf answer = alloc.buffer(head.length() + content.readableBytes() + 2);
    answer.writeCharSequence(head, StandardCharsets.ISO_8859_1);
    return answer.writeBytes(content).writeByte('\r').writeByte('\n');
  }

  private void failProtocol(String problem) {
    protocolFailed = true;
    discardResponse();
    connection.onProtocolError(problem);
  }

  private void discardResponse() {
    response = null;
    streamedResponse = null;
    skippingBody = false;
    midResponse = false;
    awaitingEnd = false;
    if (streamEnd != null) {
      streamEnd.release();
      streamEnd = null;
    }
    connection.account().release(BufferPurpose.UPSTREAM_RESPONSE, reservedBytes);
    reservedBytes = 0;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
    super.channelReadComplete(ctx);
    if (connection.nextAttempt() == null) {
      connection.account().setReserved(BufferPurpose.INPUT, 0);
    }
    connection.inputProcessed();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    completeIfAwaitingEnd(true);
    protocolFailed = true;
    discardResponse();
    connection.account().setReserved(BufferPurpose.INPUT, 0);
    connection.onClosed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    completeIfAwaitingEnd(true); // a reset behind a complete response
    failProtocol(String.valueOf(cause));
  }
}
