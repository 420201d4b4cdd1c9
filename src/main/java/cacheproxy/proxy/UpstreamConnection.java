package cacheproxy.proxy;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.ByteAccount;
import cacheproxy.limits.DisconnectReason;
import cacheproxy.limits.MinimumRateMonitor;
import cacheproxy.proxy.Exchange.Attempt;
import cacheproxy.routing.RoutingApi;
import cacheproxy.routing.RoutingApi.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Predicate;

/**
 * One connection to a server with its attempts in the order in which their responses arrive. When
 * the connection ends, the outcome of an attempt depends on whether its last byte was written,
 * because the request may have run only if it was.
 */
final class UpstreamConnection {
  /**
   * The server's protocol: writes attempts, and reports responses through the methods of this
   * connection.
   */
  interface Codec {
    /**
     * Writes the request with this deadline in place of the client's. If {@code deferLastByte} is
     * set, the last byte is not written.
     */
    ChannelFuture write(
        Channel channel,
        Attempt attempt,
        InetSocketAddress dial,
        long deadlineMs,
        boolean deferLastByte);

    /** Whether the protocol can write the last byte of the request separately. */
    boolean canDeferLastByte(Attempt attempt);

    ChannelFuture writeLastByte(Channel channel, Attempt attempt);

    /** Whether a response has been read partly. */
    boolean isMidResponse();
  }

  /**
   * An idle connection is not reused this soon after its last response. A duplicate response or
   * stray bytes right behind a valid response would otherwise be read as the response to the next
   * request. The cost is a further connection when requests follow each other that closely.
   */
  private static final double REUSE_DELAY_MS = 3;

  /**
   * The same for requests whose response must not be confused with another's on a connection to a
   * cache node. {@link #readPendingInput} covers bytes that a late event loop has not read.
   */
  private static final double STRICT_REUSE_DELAY_MS = 8;

  /**
   * The same on a connection to the origin. HTTP responses carry no id, so a duplicate could give a
   * client the value of another key.
   */
  private static final double ORIGIN_REUSE_DELAY_MS = RejectionHistory.MAX_DUPLICATE_DELAY_MS;

  /**
   * The last byte of a non-idempotent request is delayed by twice the time that the connection took
   * to be established, within these bounds. If the server has closed or lost the connection, its
   * reset arrives within that time, and since a request without its last byte never runs, it can be
   * retried. Without the delay, each such request that meets a stale connection would fail. The
   * cost is that every such request takes this much longer; a reset that arrives later is not
   * detected. The delay should also cover resets by devices between proxy and server.
   */
  private static final double MIN_LAST_BYTE_DELAY_MS = 2;

  private static final double MAX_LAST_BYTE_DELAY_MS = 10;

  /**
   * A long value of which nothing has arrived for this long is given up: its stated length is wrong
   * or its server has failed. The limit is generous, as servers may be slow and the client loses a
   * value that is given up.
   */
  private static final double STREAM_STALL_MS = 5000;

  /**
   * A cache node without a free connection slot accepts a connection, answers the first request
   * {@code busy} and closes the connection; a node with a full queue also answers {@code busy} but
   * does not close. A first answer {@code busy} is therefore delayed by this time, to see whether
   * the connection is closed. Only with a full queue may further requests be sent to the node. The
   * cost is that a full queue's first answer on a connection is this much later.
   */
  private static final double BUSY_DELAY_MS = 2;

  private final Upstream upstream;
  private final ByteAccount account;

  /** The transfer rate of a response that has been read partly. */
  private final MinimumRateMonitor responseRate;

  private final ArrayDeque<Attempt> attempts = new ArrayDeque<>(4);
  private final RejectionHistory rejections = new RejectionHistory();
  private Codec codec;
  private Channel channel;
  private InetSocketAddress address;
  private boolean connected;
  private boolean closed;
  private boolean retired;
  private boolean protocolError;
  private int abandonedCount;

  /**
   * The first attempt of the connection if it was answered {@code busy} and {@link #BUSY_DELAY_MS}
   * has not passed since; otherwise null.
   */
  private Attempt delayedBusy;

  private boolean answered;

  /** The attempt whose last byte is delayed. No other attempt is written before that byte. */
  private Attempt deferred;

  /** The long value that is being forwarded; null if there is none. */
  private StreamedResponse streamedResponse;

  private boolean readPaused;
  private double openedMs;
  private double lastByteDelayMs;
  private double idleSinceMs;
  private double lastReadMs;
  private double lastAnswerMs = Double.NEGATIVE_INFINITY;

  UpstreamConnection(Upstream upstream) {
    this.upstream = upstream;
    account = upstream.dispatcher().accounts().open();
    responseRate = new MinimumRateMonitor(upstream.dispatcher().limits().nodeResponseRate());
    idleSinceMs = upstream.dispatcher().now();
  }

  Dispatcher dispatcher() {
    return upstream.dispatcher();
  }

  ByteAccount account() {
    return account;
  }

  void setCodec(Codec codec) {
    this.codec = codec;
  }

  void onConnecting(ChannelFuture future, InetSocketAddress address) {
    channel = future.channel();
    this.address = address;
    openedMs = upstream.dispatcher().now();
    future.addListener(
        f -> {
          if (!f.isSuccess()) {
            onClosed();
            return;
          }
          connected = true;
          double connectMs = upstream.dispatcher().now() - openedMs;
          lastByteDelayMs =
              Math.max(MIN_LAST_BYTE_DELAY_MS, Math.min(2 * connectMs, MAX_LAST_BYTE_DELAY_MS));
          List<Attempt> unsent = removeUnsent(a -> retired || !isWanted(a));
          if (attempts.isEmpty()) {
            idleSinceMs = upstream.dispatcher().now();
            if (retired) {
              close();
            }
          }
          attempts.forEach(this::write);
          // Last, as the policy may react by sending on this connection.
          unsent.forEach(this::endAsUnsent);
        });
  }

  /** Whether the attempt's request still needs an answer; a health check always does. */
  static boolean isWanted(Attempt attempt) {
    return attempt.exchange == null
        || !attempt.exchange.finished && attempt.exchange.streamedResponse == null;
  }

  /** Removes matching attempts, none of which has been written. */
  private List<Attempt> removeUnsent(Predicate<Attempt> which) {
    List<Attempt> taken = attempts.stream().filter(which).toList();
    attempts.removeAll(taken);
    deferred = taken.contains(deferred) ? null : deferred;
    return taken;
  }

  private void endAsUnsent(Attempt attempt) {
    upstream.dispatcher().end(attempt, Outcome.CONNECT_FAILED, 0, null, null);
  }

  /**
   * Ends the attempts that wait for the connection to be established, so that they can go to other
   * servers: this server must not get new requests, or its address now belongs to another one. An
   * attempt counts as sent when its first byte is written, which on a connection that is
   * established late could be after the drain's grace period.
   */
  void failUnsent() {
    if (!connected && !closed) {
      removeUnsent(a -> true).forEach(this::endAsUnsent);
    }
  }

  int depth() {
    return attempts.size();
  }

  double idleSinceMs() {
    return idleSinceMs;
  }

  boolean isClosing() {
    return closed || retired;
  }

  /**
   * Whether an attempt can be sent: the connection is not closing, has a free position, and no
   * response has to be read that nobody needs or that is being streamed.
   */
  boolean isUsable(int maxDepth) {
    return !closed
        && !retired
        && deferred == null
        && delayedBusy == null
        && abandonedCount == 0
        && streamedResponse == null
        && attempts.size() < maxDepth
        && (!connected || channel.isActive() && channel.isWritable());
  }

  /**
   * The time until all stray bytes behind the last response have arrived, in milliseconds; 0 if it
   * has passed. {@code strict} is set for requests whose response must not be confused with
   * another's.
   */
  double remainingReuseDelayMs(boolean strict) {
    double now = upstream.dispatcher().now();
    double idleMs = now - lastAnswerMs;
    if (upstream.origin) {
      return Math.max(0, ORIGIN_REUSE_DELAY_MS - idleMs);
    }
    if (strict) {
      return Math.max(STRICT_REUSE_DELAY_MS - idleMs, rejections.remainingMs(now));
    }
    return attempts.isEmpty() ? Math.max(0, REUSE_DELAY_MS - idleMs) : 0;
  }

  /**
   * Reads what the kernel has buffered for an idle connection: a duplicate response or the end of
   * the connection that the event loop has not processed yet. Returns false if the connection can
   * no longer be used.
   */
  boolean readPendingInput() {
    if (connected && attempts.isEmpty()) {
      readAvailableInput();
    }
    return !isClosing() && (!connected || channel.isActive());
  }

  /** Reads what the kernel has buffered, also while reading is paused. */
  void readAvailableInput() {
    if (channel instanceof AbstractNioChannel nio && nio.isActive()) {
      nio.unsafe().read();
    }
  }

  boolean isPreferredTo(UpstreamConnection other) {
    return depth() != other.depth() ? depth() < other.depth() : idleSinceMs > other.idleSinceMs;
  }

  void send(Attempt attempt) {
    attempt.connection = this;
    attempts.add(attempt);
    if (attempt.exchange != null
        && attempt.exchange.notIdempotent
        && codec.canDeferLastByte(attempt)) {
      deferred = attempt;
    }
    if (connected) {
      write(attempt);
    }
  }

  private void write(Attempt attempt) {
    writeNow(attempt);
    accountForOutput();
  }

  /** Accounts for the bytes that the network has not accepted yet, as measured by Netty. */
  private void accountForOutput() {
    ChannelOutboundBuffer out =
        closed || channel == null ? null : channel.unsafe().outboundBuffer();
    account.setReserved(BufferPurpose.OUTPUT, out == null ? 0 : out.totalPendingWriteBytes());
  }

  private void writeNow(Attempt attempt) {
    double now = upstream.dispatcher().now();
    if (attempt == deferred) {
      codec.write(
          channel,
          attempt,
          address,
          attempt.deadlineMs(now + lastByteDelayMs + Timers.TICK_MS),
          true);
      upstream.dispatcher().after(lastByteDelayMs, () -> writeLastByte(attempt));
    } else {
      codec
          .write(channel, attempt, address, attempt.deadlineMs(now), false)
          .addListener(f -> onWritten(attempt, f.isSuccess()));
    }
  }

  private void onWritten(Attempt attempt, boolean complete) {
    if (attempt.markWritten(complete) && attempt.exchange != null) {
      upstream.dispatcher().metrics().attemptSent();
    }
  }

  /**
   * Writes the byte unless the request has been answered or its client has left. As long as a
   * duplicate of an earlier rejection may still arrive it waits: a rejection that is read before
   * the byte is written proves that the request has not run, whichever request it belongs to.
   */
  private void writeLastByte(Attempt attempt) {
    if (attempt == deferred) {
      readAvailableInput();
    }
    if (attempt == deferred && !closed && channel.isActive()) {
      double duplicateMs = rejections.remainingMs(upstream.dispatcher().now());
      if (duplicateMs > 0 && !attempt.exchange.finished) {
        upstream.dispatcher().after(duplicateMs, () -> writeLastByte(attempt));
        return;
      }
      if (attempt.exchange.finished) { // the client has disconnected meanwhile
        abandon(attempt);
        upstream.dispatcher().end(attempt, Outcome.CONNECT_FAILED, 0, null, null);
        return;
      }
      deferred = null;
      codec.writeLastByte(channel, attempt).addListener(f -> onWritten(attempt, f.isSuccess()));
      accountForOutput();
    }
  }

  /**
   * Abandons an attempt. Its response is read and discarded, and the connection is closed once no
   * attempt on it is needed. Returns true if the last byte was not handed to the network, because
   * the connection was not established or the byte was delayed.
   */
  boolean abandon(Attempt attempt) {
    if (attempt.abandoned) {
      return false;
    }
    if (attempt == delayedBusy) {
      delayedBusy = null;
      return true;
    }
    if (!connected) {
      deferred = attempt == deferred ? null : deferred;
      return attempts.remove(attempt);
    }
    if (attempt == deferred) {
      deferred = null;
      attempts.remove(attempt);
      retired = true; // with an incomplete request written, no other may follow
      if (abandonedCount == attempts.size()) {
        close();
      }
      return true;
    }
    if (attempts.contains(attempt)) {
      attempt.abandoned = true;
      if (streamedResponse != null && streamedResponse.attempt == attempt) {
        setReading(true);
      }
      if (++abandonedCount == attempts.size()) {
        close();
      }
    }
    return false;
  }

  /** Whether the attempt still waits for a response on an open connection. */
  boolean isInFlight(Attempt attempt) {
    return !closed && channel.isOpen() && attempts.contains(attempt);
  }

  /** Sends nothing more on this connection and closes it once all its attempts have ended. */
  void retire() {
    retired = true;
    if (attempts.isEmpty() && connected) {
      close();
    }
  }

  /**
   * Ends the connection if its response is below the minimum rate or a stream has stalled. A
   * response that has stopped is malformed, for example by a wrong length or a missing line end.
   * One that still arrives, a few bytes at a time, is that of a slow server: the connection is
   * reset, and reads are retried at the next server in rank. All its attempts may have run.
   */
  void sweep(double now) {
    if (streamedResponse != null) {
      if (!readPaused && now - lastReadMs > STREAM_STALL_MS) {
        upstream.dispatcher().disconnectCounters().increment(DisconnectReason.SLOW_NODE);
        onProtocolError("a long value that does not end");
      }
      return;
    }
    if (responseRate.isTooSlow(now, 1)) {
      upstream.dispatcher().disconnectCounters().increment(DisconnectReason.SLOW_NODE);
      if (now - lastReadMs >= upstream.dispatcher().limits().nodeResponseRate().graceMs()) {
        onProtocolError("incomplete response");
      } else {
        upstream.dispatcher().log("slow answer of " + address);
        close();
        onClosed();
      }
      return;
    }
    accountForOutput();
  }

  void close() {
    retired = true;
    if (channel != null) {
      channel.close();
    }
    if (attempts.isEmpty()) {
      onClosed(); // frees the slot now rather than when the network is done with it
    }
  }

  // ---- streamed responses

  /**
   * Starts to forward a long value, preceded by this line. Returns null if nobody needs the value,
   * in which case it has to be skipped.
   */
  StreamedResponse beginStreaming(ByteBuf head) {
    StreamedResponse streamed = upstream.dispatcher().beginStreaming(attempts.peek(), this, head);
    if (closed) {
      return null;
    }
    streamedResponse = streamed;
    responseRate.end();
    return streamed;
  }

  /** Forwards the next bytes of a long value; takes ownership of the buffer. */
  void forwardPart(StreamedResponse streamed, ByteBuf part) {
    if (streamed.attempt.exchange.finished) {
      // The client has disconnected, but attempts behind this one still need their responses.
      part.release();
      setReading(true);
    } else {
      streamed.attempt.exchange.client.addResponsePart(streamed.attempt.exchange, part);
    }
  }

  /** Whether a long value is being forwarded from this connection. */
  boolean isStreaming() {
    return streamedResponse != null;
  }

  /** Whether reading is paused. */
  boolean isReadPaused() {
    return readPaused;
  }

  /** Resumes or pauses reading. */
  void setReading(boolean reading) {
    if (readPaused == reading && channel != null) {
      readPaused = !reading;
      // Time spent paused does not count as a stall of the server.
      lastReadMs = upstream.dispatcher().now();
      channel.config().setAutoRead(reading);
    }
  }

  // ---- events reported by the codec

  /**
   * The attempt that the next response belongs to; null if none is in flight, in which case any
   * input violates the protocol.
   */
  Attempt nextAttempt() {
    return attempts.peek();
  }

  /** Records that this many bytes have arrived. */
  void bytesRead(int bytes) {
    lastReadMs = upstream.dispatcher().now();
    responseRate.transferred(lastReadMs, bytes);
  }

  /**
   * Records that the codec has processed the input as far as possible, which begins or ends the
   * measurement of the response's rate.
   */
  void inputProcessed() {
    if (codec.isMidResponse() && streamedResponse == null) {
      responseRate.begin(upstream.dispatcher().now());
    } else {
      responseRate.end();
    }
  }

  /**
   * Ends the attempt whose response is complete. A rejection carries no id and is matched to its
   * attempt by position alone (see {@link #isAmbiguousRejection}).
   *
   * @param surplus whether more bytes have arrived behind the response
   */
  void responseComplete(
      Outcome outcome, int note, float[] report, ByteBuf answer, boolean surplus) {
    if (isForeign(outcome)) {
      if (answer != null) {
        answer.release();
      }
      onProtocolError("response to an incomplete request");
      return;
    }
    Attempt attempt = attempts.poll();
    responseRate.end();
    boolean incomplete = attempt == deferred;
    recordIdentification(attempt, outcome);
    if (streamedResponse != null) {
      streamedResponse = null;
      setReading(true);
    }
    if (attempt == deferred) {
      // Answered before the request was complete; its last byte is not sent.
      deferred = null;
      retired = true;
    }
    if (attempt.abandoned) {
      abandonedCount--;
    }
    if (attempts.isEmpty()) {
      idleSinceMs = lastAnswerMs = upstream.dispatcher().now();
      retired |= surplus;
    }
    // The connection's state is updated before the policy is called, as the policy may send on
    // this connection at once.
    boolean first = !answered;
    answered = true;
    if (!incomplete && isAmbiguousRejection(attempt, outcome)) {
      upstream.dispatcher().metrics().ambiguousRejection();
      end(attempt, Outcome.ERROR, note, report, answer);
      return;
    }
    if (first && outcome == Outcome.FULL && !upstream.origin && !attempt.abandoned && !closed) {
      delayedBusy = attempt;
      upstream.dispatcher().after(BUSY_DELAY_MS, () -> endDelayedBusy(Outcome.FULL, note));
      return;
    }
    end(attempt, outcome, note, report, answer);
  }

  /**
   * Whether a response of the origin cannot belong to the request at its position, as that has not
   * been written completely: it is a late duplicate. The request has not run.
   */
  private boolean isForeign(Outcome outcome) {
    return upstream.origin
        && deferred != null
        && attempts.peek() == deferred
        && outcome != Outcome.FULL;
  }

  private void recordIdentification(Attempt attempt, Outcome outcome) {
    if (outcome == Outcome.FULL || outcome == Outcome.ERROR) {
      double now = upstream.dispatcher().now();
      rejections.rejected(now - upstream.dispatcher().queueDelayMs(), now);
    } else if (attempt.exchange != null) {
      rejections.identified();
    }
  }

  /**
   * Whether a rejection could belong to another request than this attempt's, which must not be
   * repeated once it has run. A server may drop a request without a response, and then the response
   * of the next request takes its position. With further requests in flight, a rejection therefore
   * does not prove that the attempt at its position never ran. Neither does it soon after another
   * rejection, of which it may be a duplicate.
   */
  private boolean isAmbiguousRejection(Attempt attempt, Outcome outcome) {
    return outcome == Outcome.FULL
        && (!attempts.isEmpty() || rejections.arePositionsUncertain())
        && attempt.exchange != null
        && !attempt.exchange.idempotent;
  }

  /** Ends an attempt that has been removed, and the connection if it is not needed any more. */
  private void end(Attempt attempt, Outcome outcome, int note, float[] report, ByteBuf answer) {
    if (attempts.isEmpty() ? retired : abandonedCount == attempts.size()) {
      close();
    }
    upstream.dispatcher().end(attempt, outcome, note, report, answer);
  }

  private void endDelayedBusy(Outcome outcome, int note) {
    Attempt attempt = delayedBusy;
    if (attempt != null) {
      delayedBusy = null;
      if (attempts.isEmpty() && retired) {
        close();
      }
      upstream.dispatcher().end(attempt, outcome, note, null, null);
    }
  }

  /**
   * Closes the connection after input that violates the protocol. The outcome of its written
   * attempts is an error, as they may have run; the server does not count as unreachable.
   */
  void onProtocolError(String problem) {
    if (protocolError || closed) {
      return;
    }
    protocolError = true;
    if (!attempts.isEmpty()) {
      upstream.dispatcher().log("bad answer of " + address + ": " + problem);
    }
    close();
    onClosed();
  }

  /** Handles the end of the connection, or that it could not be established. */
  void onClosed() {
    if (closed) {
      return;
    }
    closed = true;
    responseRate.end();
    account.setReserved(BufferPurpose.OUTPUT, 0);
    account.close();
    upstream.connectionClosed(this);
    if (delayedBusy != null) {
      boolean noOtherConnection = upstream.connectionRefused();
      endDelayedBusy(
          noOtherConnection ? Outcome.CONNECT_FAILED : Outcome.FULL,
          noOtherConnection ? RoutingApi.NOTE_NO_CONNECTION_SLOT : 0);
    }
    for (Attempt attempt; (attempt = attempts.poll()) != null; ) {
      Outcome outcome =
          !attempt.written()
              ? Outcome.CONNECT_FAILED
              : attempt.abandoned
                  ? Outcome.CANCELLED
                  : protocolError ? Outcome.ERROR : Outcome.RESET;
      upstream.dispatcher().end(attempt, outcome, 0, null, null);
    }
  }
}
