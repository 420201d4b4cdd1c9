package cacheproxy.proxy;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.DisconnectReason;
import cacheproxy.proxy.Exchange.Attempt;
import cacheproxy.proxy.Exchange.Command;
import cacheproxy.routing.RoutingApi;
import cacheproxy.routing.RoutingApi.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The memcached meta protocol, as a client of a cache node. A response is passed on only once it is
 * complete and matches the request, so that no part of a malformed one reaches a client. Values
 * longer than {@link MetaCodec#MAX_BUFFERED_VALUE_BYTES} are streamed instead.
 */
final class CacheCodec extends ByteToMessageDecoder implements UpstreamConnection.Codec {
  private static final String FAILED = "SERVER_ERROR failed";

  /** A value's last byte and the line terminator behind it. */
  private static final int TAIL_BYTES = 3;

  private final UpstreamConnection connection;
  private final Dispatcher dispatcher;

  /** The client's answer as far as its value has been read; null if a line is expected next. */
  private ByteBuf response;

  /**
   * Remaining bytes of a value that is skipped, as it is not needed or memory had no capacity for
   * it.
   */
  private int bytesToSkip;

  private Outcome outcomeAfterSkip;

  /** The long value that is being forwarded, and its remaining bytes; null if there is none. */
  private StreamedResponse streamedResponse;

  private int bytesLeft;
  private int note;
  private float[] loadReport;

  /** The metrics read so far from the response to a load probe. */
  private String probeStats = "";

  CacheCodec(UpstreamConnection connection) {
    this.connection = connection;
    this.dispatcher = connection.dispatcher();
    connection.setCodec(this);
  }

  @Override
  public ChannelFuture write(
      Channel channel,
      Attempt attempt,
      InetSocketAddress dial,
      long deadlineMs,
      boolean deferLastByte) {
    if (attempt.exchange == null) {
      String probe = dispatcher.probesLoad() ? "stats load\r\n" : "mn\r\n";
      return channel.writeAndFlush(MetaCodec.asciiBuffer(channel.alloc(), probe));
    }
    Command command = attempt.exchange.command;
    String line = command.line(deadlineMs) + "\r\n";
    int heldBack = deferLastByte ? 1 : 0;
    ByteBuf head = MetaCodec.asciiBuffer(channel.alloc(), line);
    if (command.value == null) {
      return channel.writeAndFlush(head.writerIndex(head.writerIndex() - heldBack));
    }
    channel.write(head);
    return channel.writeAndFlush(
        command.value.retainedSlice(0, command.value.readableBytes() - heldBack));
  }

  @Override
  public boolean canDeferLastByte(Attempt attempt) {
    return true;
  }

  @Override
  public ChannelFuture writeLastByte(Channel channel, Attempt attempt) {
    return channel.writeAndFlush(MetaCodec.asciiBuffer(channel.alloc(), "\n"));
  }

  @Override
  public boolean isMidResponse() {
    return response != null
        || bytesToSkip > 0
        || streamedResponse != null
        || actualReadableBytes() > 0
        || !probeStats.isEmpty();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (connection.isClosing() && connection.nextAttempt() == null) {
      in.skipBytes(in.readableBytes());
      return;
    }
    try {
      if (response != null) {
        readValue(in);
      } else if (streamedResponse != null) {
        forwardStream(in);
      } else if (bytesToSkip > 0) {
        skipValue(in);
      } else {
        if (connection.nextAttempt() == null) {
          // Input without an attempt in flight is an error even before its line is complete, as the
          // next response would be appended to it.
          throw new MetaCodec.SyntaxException("answer to nothing");
        }
        String line = MetaCodec.readLine(in);
        if (line != null) {
          readResponseLine(in, line);
        }
      }
    } catch (MetaCodec.SyntaxException e) {
      in.skipBytes(in.readableBytes());
      discardResponse();
      connection.onProtocolError(e.getMessage());
    }
  }

  private void readResponseLine(ByteBuf in, String line) throws MetaCodec.SyntaxException {
    Attempt attempt = connection.nextAttempt();
    if (attempt.exchange == null) {
      readProbeLine(in, line);
    } else if (hasStatus(line, MetaCodec.BUSY)) {
      complete(in, Outcome.FULL, 0, parseLoadReport(line, MetaCodec.BUSY.length()), null);
    } else if (hasStatus(line, FAILED)) {
      complete(in, Outcome.ERROR, 0, parseLoadReport(line, FAILED.length()), null);
    } else if (line.startsWith("VA ") && !attempt.exchange.command.write) {
      String lengthWord = MetaCodec.tokenAt(line, 3);
      int length = MetaCodec.parseLength(lengthWord, MetaCodec.MAX_RESPONSE_VALUE_BYTES);
      readFlags(attempt, line, 4 + lengthWord.length());
      if (length > MetaCodec.MAX_BUFFERED_VALUE_BYTES) {
        beginStreaming(in, length, attempt);
      } else {
        beginValue(in, length, attempt.exchange.command.id);
      }
    } else if (line.startsWith("HD ") && attempt.exchange.command.write) {
      readFlags(attempt, line, 3);
      String receipt = MetaCodec.findFlag(line, 3, 'c');
      if (receipt == null || !MetaCodec.isToken(receipt)) {
        throw new MetaCodec.SyntaxException("missing or invalid receipt");
      }
      String text = MetaCodec.storedLine(attempt.exchange.command.id, receipt);
      complete(in, Outcome.OK, note, loadReport, MetaCodec.asciiBuffer(in.alloc(), text));
    } else if (line.startsWith("EN ")) {
      readFlags(attempt, line, 3);
      complete(in, Outcome.MISS, note, loadReport, null);
    } else {
      throw new MetaCodec.SyntaxException("unexpected status line");
    }
  }

  /** Whether the line consists of this status and at most flags behind it. */
  private static boolean hasStatus(String line, String text) {
    return line.startsWith(text)
        && (line.length() == text.length() || line.charAt(text.length()) == ' ');
  }

  private void complete(ByteBuf in, Outcome outcome, int noteCode, float[] load, ByteBuf answer) {
    connection.responseComplete(outcome, noteCode, load, answer, in.isReadable());
  }

  private float[] parseLoadReport(String line, int end) {
    return dispatcher.parseLoadReport(MetaCodec.findFlag(line, end + 1, 'L'));
  }

  /**
   * Reads the flags of a response. An id other than the attempt's means that responses are out of
   * order.
   */
  private void readFlags(Attempt attempt, String line, int from) throws MetaCodec.SyntaxException {
    if (!attempt.exchange.command.id.equals(MetaCodec.findFlag(line, from, 'O'))) {
      throw new MetaCodec.SyntaxException("answer to another request");
    }
    String hit = MetaCodec.findFlag(line, from, 'h');
    note =
        "1".equals(hit)
            ? 1
            : !"0".equals(hit)
                ? 0
                : MetaCodec.findFlag(line, from, 'Z') != null ? RoutingApi.NOTE_FETCH_IN_FLIGHT : 2;
    loadReport = dispatcher.parseLoadReport(MetaCodec.findFlag(line, from, 'L'));
  }

  /**
   * Reserves memory for the complete answer before reading its value, which arrives in several
   * parts.
   */
  private void beginValue(ByteBuf in, int length, String id) throws MetaCodec.SyntaxException {
    String head = MetaCodec.valueHeader(length, id);
    int totalBytes = head.length() + length + 2;
    if (!connection.account().tryReserve(BufferPurpose.UPSTREAM_RESPONSE, totalBytes)) {
      bytesToSkip = length + 2;
      outcomeAfterSkip = Outcome.ERROR;
      dispatcher.disconnectCounters().increment(DisconnectReason.NO_CAPACITY);
      return;
    }
    response = in.alloc().buffer(totalBytes, totalBytes);
    response.writeCharSequence(head, StandardCharsets.ISO_8859_1);
  }

  private void beginStreaming(ByteBuf in, int length, Attempt attempt) {
    String head = MetaCodec.valueHeader(length, attempt.exchange.command.id);
    streamedResponse = connection.beginStreaming(MetaCodec.asciiBuffer(in.alloc(), head));
    bytesLeft = length + 2;
    if (streamedResponse == null) {
      bytesToSkip = bytesLeft;
      outcomeAfterSkip = Outcome.OK;
    }
  }

  /**
   * Forwards the value as it arrives, except for its last byte, which is forwarded once the line
   * terminator behind it has been checked.
   */
  private void forwardStream(ByteBuf in) throws MetaCodec.SyntaxException {
    int n = Math.min(in.readableBytes(), bytesLeft);
    boolean last = n == bytesLeft;
    if (last) {
      int end = in.readerIndex() + n - 2;
      if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
        throw new MetaCodec.SyntaxException("value without line terminator");
      }
    } else {
      n = Math.min(n, bytesLeft - TAIL_BYTES);
    }
    if (n <= 0) {
      return;
    }
    bytesLeft -= n;
    connection.forwardPart(streamedResponse, in.alloc().buffer(n, n).writeBytes(in, n));
    if (last && streamedResponse != null) { // forwardPart() may have closed this connection
      streamedResponse = null;
      complete(in, Outcome.OK, note, loadReport, null);
    }
  }

  /** Skips a value and keeps the connection, so that the attempts behind it get their responses. */
  private void skipValue(ByteBuf in) {
    int n = Math.min(in.readableBytes(), bytesToSkip);
    in.skipBytes(n);
    bytesToSkip -= n;
    if (bytesToSkip == 0) {
      complete(in, outcomeAfterSkip, 0, loadReport, null);
    }
  }

  private void readValue(ByteBuf in) throws MetaCodec.SyntaxException {
    response.writeBytes(in, Math.min(in.readableBytes(), response.writableBytes()));
    if (response.isWritable()) {
      return;
    }
    int end = response.writerIndex() - 2;
    if (response.getByte(end) != '\r' || response.getByte(end + 1) != '\n') {
      throw new MetaCodec.SyntaxException("value without line terminator");
    }
    ByteBuf complete = response.retain();
    discardResponse();
    complete(in, Outcome.OK, note, loadReport, complete);
  }

  private void discardResponse() {
    streamedResponse = null;
    if (response != null) {
      connection.account().release(BufferPurpose.UPSTREAM_RESPONSE, response.capacity());
      response.release();
      response = null;
    }
  }

  private void readProbeLine(ByteBuf in, String line) throws MetaCodec.SyntaxException {
    if (line.startsWith("STAT ")) {
      String name = MetaCodec.tokenAt(line, 5);
      probeStats += name + "=" + MetaCodec.tokenAt(line, 6 + name.length()) + ",";
      if (probeStats.length() > MetaCodec.MAX_LINE_BYTES) {
        throw new MetaCodec.SyntaxException("load report too long");
      }
    } else {
      boolean ok = line.equals("MN") || line.equals("END");
      float[] figures = MetaCodec.parseLoadReport(probeStats, dispatcher.reportNames());
      probeStats = "";
      complete(in, ok ? Outcome.OK : Outcome.ERROR, 0, figures, null);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    connection.bytesRead(((ByteBuf) message).readableBytes());
    super.channelRead(ctx, message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
    if (connection.isReadPaused()) {
      // The base class would request another read, as it has passed on no message.
      discardSomeReadBytes();
      ctx.fireChannelReadComplete();
    } else {
      super.channelReadComplete(ctx);
    }
    connection.account().setReserved(BufferPurpose.INPUT, internalBuffer().capacity());
    connection.inputProcessed();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    super.channelInactive(ctx);
    discardResponse();
    connection.account().setReserved(BufferPurpose.INPUT, 0);
    connection.onClosed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
