package cacheproxy.proxy;

import cacheproxy.limits.MinimumRate;
import cacheproxy.limits.MinimumRateMonitor;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * How far a client has read its answers: the bytes that wait for its socket, the bytes that the
 * socket has accepted, and whether it accepts them at the minimum rate. Confined to the event loop.
 */
final class OutputProgress {
  /**
   * A client that reads answers always has its complete grace, whoever uses up the proxy's
   * resources: a disconnect loses the request that is being answered.
   */
  private static final double COMPLETE_GRACE = 1;

  /**
   * An answer counts as at least this many bytes. A client may take each answer as steadily as any
   * other, and behind the socket's buffer it does not show that it takes short ones.
   */
  private static final int MIN_COUNTED_BYTES = 16 << 10;

  private final MinimumRateMonitor rate;

  /** Bytes of answers not yet written to the socket; closing the connection would discard them. */
  private int unwrittenBytes;

  /** Bytes of completely written answers. */
  private long writtenBytes;

  /** Bytes written, including parts of an answer, that the rate has been credited with. */
  private long creditedBytes;

  OutputProgress(MinimumRate minimum) {
    rate = new MinimumRateMonitor(minimum);
  }

  /** Adds a complete answer that is about to be written. */
  void addAnswer(int bytes) {
    add(bytes);
    rate.extendGrace(Math.max(0, MIN_COUNTED_BYTES - bytes));
  }

  /** Adds a part of an answer that is about to be written. */
  void add(int bytes) {
    unwrittenBytes += bytes;
  }

  /** Starts to measure the rate, unless that has begun already. */
  void begin(double nowMs) {
    rate.begin(nowMs);
  }

  /**
   * Records that an answer, or a part of one, was written or discarded with the connection. The
   * measurement ends with the last one.
   */
  void written(double nowMs, int bytes) {
    unwrittenBytes -= bytes;
    writtenBytes += bytes;
    creditUpTo(nowMs, writtenBytes);
    if (unwrittenBytes == 0) {
      rate.end();
    }
  }

  /** Ends the measurement of the rate. */
  void end() {
    rate.end();
  }

  /** Whether answers wait to be written. */
  boolean isPending() {
    return unwrittenBytes > 0;
  }

  /** Whether the client has read anything. */
  boolean hasBegun() {
    return writtenBytes > 0;
  }

  /** All bytes so far, written or waiting. */
  long totalBytes() {
    return writtenBytes + unwrittenBytes;
  }

  /** By how much the client has exceeded its grace in milliseconds; 0 if it is within it. */
  double overdueMs(double nowMs, Channel channel) {
    credit(nowMs, channel);
    return rate.overdueMs(nowMs);
  }

  /** Whether the client is behind the minimum rate by more than its grace. */
  boolean isTooSlow(double nowMs, Channel channel) {
    credit(nowMs, channel);
    return rate.isTooSlow(nowMs, COMPLETE_GRACE);
  }

  /** Credits the rate with the bytes written since the last call. */
  private void credit(double nowMs, Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    creditUpTo(nowMs, writtenBytes + (buffer == null ? 0 : buffer.currentProgress()));
  }

  private void creditUpTo(double nowMs, long bytes) {
    if (bytes > creditedBytes) {
      rate.accepted(nowMs, bytes - creditedBytes);
      creditedBytes = bytes;
    }
  }
}
