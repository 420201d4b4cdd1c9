package cacheproxy.load;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A client connection to the proxy that carries one request at a time; parses and checks its
 * answer.
 */
final class LoadConnection extends ByteToMessageDecoder {
  /** Carriage return and line feed as a big-endian short. */
  private static final short CRLF = '\r' << 8 | '\n';

  private static final int MAX_LINE_BYTES = 4096;
  private static final int MAX_VALUE_BYTES = 4 << 20;

  /**
   * Receives the outcome of an attempt, at most once. {@code retryAfterMs} is the Retry-After time
   * of a rejection, or 0 if there is none.
   */
  interface AttemptCallback {
    void completed(ClientRetryPolicy.AttemptOutcome outcome, double retryAfterMs);
  }

  private final LoadWorker worker;
  private final int target;
  private Channel channel;
  private String attemptId;
  private AttemptCallback callback;
  private int valueBytesLeft;
  private boolean answerStarted;
  private int answerCount;

  LoadConnection(LoadWorker worker, int target) {
    this.worker = worker;
    this.target = target;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  Channel channel() {
    return channel;
  }

  int target() {
    return target;
  }

  /** Whether the connection has received no answer yet. */
  boolean isUnused() {
    return answerCount == 0;
  }

  /**
   * Whether no byte of the current answer has arrived on a connection that was used before. If the
   * connection is closed in this state, the proxy may have closed it as idle before the request
   * arrived.
   */
  boolean closedWhileIdle() {
    return answerCount > 0 && !answerStarted;
  }

  void expectAnswer(String newAttemptId, AttemptCallback newCallback) {
    attemptId = newAttemptId;
    callback = newCallback;
    answerStarted = false;
    valueBytesLeft = 0;
  }

  /** Passes the outcome of the current attempt to another callback. */
  void replaceCallback(AttemptCallback newCallback) {
    callback = newCallback;
  }

  /** Ignores the outcome of the current attempt; a later answer counts as stray. */
  void discardCallback() {
    callback = null;
  }

  void close() {
    channel.close();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (callback == null) {
      if (in.isReadable()) {
        in.skipBytes(in.readableBytes());
        worker.countStrayAnswer(); // an answer without a pending request
        ctx.close();
      }
      return;
    }
    answerStarted |= in.isReadable();
    if (valueBytesLeft > 0) {
      if (in.readableBytes() >= valueBytesLeft) {
        in.skipBytes(valueBytesLeft - 2);
        boolean terminated = in.readShort() == CRLF;
        valueBytesLeft = 0;
        complete(terminated, ClientRetryPolicy.AttemptOutcome.SERVED, 0);
      }
      return;
    }
    int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    if (end < 0) {
      if (in.readableBytes() > MAX_LINE_BYTES) {
        complete(false, ClientRetryPolicy.AttemptOutcome.FAILED, 0);
      }
      return;
    }
    String text =
        in.toString(in.readerIndex(), end - in.readerIndex(), StandardCharsets.ISO_8859_1).strip();
    in.readerIndex(end + 1);
    parseLine(text);
  }

  private void parseLine(String text) {
    String[] tokens = text.split(" ");
    if (tokens[0].equals("VA") || tokens[0].equals("HD")) {
      boolean idMatches = List.of(tokens).contains("O" + attemptId);
      int bytes = tokens[0].equals("VA") ? parseLength(tokens) : -1;
      if (!idMatches || tokens[0].equals("VA") && bytes < 0) {
        complete(false, ClientRetryPolicy.AttemptOutcome.FAILED, 0);
      } else if (bytes < 0) {
        complete(true, ClientRetryPolicy.AttemptOutcome.SERVED, 0);
      } else {
        valueBytesLeft = bytes + 2;
      }
    } else if (text.startsWith("SERVER_ERROR busy")) {
      double retryAfterMs = 0;
      try {
        retryAfterMs = tokens.length == 3 ? Double.parseDouble(tokens[2]) : 0;
      } catch (NumberFormatException e) {
        // an invalid Retry-After time is ignored
      }
      complete(true, ClientRetryPolicy.AttemptOutcome.REFUSED, retryAfterMs);
    } else {
      complete(true, ClientRetryPolicy.AttemptOutcome.FAILED, 0);
    }
  }

  private static int parseLength(String[] tokens) {
    try {
      int length = tokens.length > 1 ? Integer.parseInt(tokens[1]) : -1;
      return length > MAX_VALUE_BYTES ? -1 : length;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /**
   * Ends the current attempt. A malformed answer, or one with another attempt's id, counts as
   * failed and closes the connection, because later bytes cannot be assigned to a request.
   */
  private void complete(
      boolean wellFormed, ClientRetryPolicy.AttemptOutcome outcome, double retryAfterMs) {
    AttemptCallback completedCallback = callback;
    callback = null;
    answerCount++;
    if (!wellFormed) {
      worker.countStrayAnswer();
      channel.close();
    }
    completedCallback.completed(
        wellFormed ? outcome : ClientRetryPolicy.AttemptOutcome.FAILED, retryAfterMs);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) throws Exception {
    super.channelInactive(ctx);
    worker.connectionClosed(this);
    if (callback != null) {
      AttemptCallback pendingCallback = callback;
      callback = null;
      pendingCallback.completed(ClientRetryPolicy.AttemptOutcome.LOST, 0);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
