package cacheproxy.proxy;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.ByteAccounts;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Sizes the buffers into which client connections are read, and bounds how far they are read ahead.
 * While unprocessed input takes much of its memory limit, the buffers are small, so that many
 * clients that have sent more than may be processed cannot exceed that limit by far. Confined to
 * the event loop.
 */
@SuppressWarnings("deprecation") // Netty has no other way to set the size of the next buffer
final class ClientReadBufferSizer extends DefaultMaxMessagesRecvByteBufAllocator {
  /**
   * Maximum number of reads per client and event loop round. Without it, a client that sends at
   * full speed could occupy the loop for a megabyte at a time; a long value takes several rounds.
   */
  private static final int MAX_READS_PER_ROUND = 2;

  /** Large enough to contain a flood of commands in one read. */
  private static final int BUFFER_BYTES = 16 << 10;

  /** A longer line takes several reads. */
  private static final int SMALL_BUFFER_BYTES = 2 << 10;

  /** The fraction of the memory limit for input from which on buffers are small. */
  private static final double SMALL_FROM_UTILIZATION = 0.5;

  /**
   * To notice that a client has disconnected, the proxy must read all input that precedes the end
   * of the stream; it reads ahead up to this many bytes, which is several values of the maximum
   * length. The bound limits memory for clients that keep sending.
   */
  private static final int READ_AHEAD_BYTES = 512 << 10;

  /**
   * Read-ahead bound while the input of all clients takes {@link #REDUCED_READ_AHEAD_UTILIZATION}
   * of its memory limit or more.
   */
  private static final int REDUCED_READ_AHEAD_BYTES = 16 << 10;

  private static final double REDUCED_READ_AHEAD_UTILIZATION = 0.25;

  /**
   * Read-ahead bound while memory for input is short. A read is made only if a complete small
   * buffer stays within the bound.
   */
  private static final int MIN_READ_AHEAD_BYTES = (4 << 10) - SMALL_BUFFER_BYTES + 1;

  private final ByteAccounts accounts;

  ClientReadBufferSizer(ByteAccounts accounts) {
    super(MAX_READS_PER_ROUND);
    this.accounts = accounts;
  }

  /** Whether unprocessed input takes so much memory that buffers are small. */
  private static boolean isInputMemoryShort(ByteAccounts accounts) {
    return inputUtilization(accounts) >= SMALL_FROM_UTILIZATION;
  }

  /** Unprocessed input as a fraction of its memory limit. */
  private static double inputUtilization(ByteAccounts accounts) {
    return (double) accounts.reservedBytes(BufferPurpose.INPUT)
        / accounts.maxBytes(BufferPurpose.INPUT);
  }

  /** Below this many buffered bytes, a connection may be read ahead further. */
  static int maxReadAheadBytes(ByteAccounts accounts) {
    if (isInputMemoryShort(accounts)) {
      return MIN_READ_AHEAD_BYTES;
    }
    return inputUtilization(accounts) < REDUCED_READ_AHEAD_UTILIZATION
        ? READ_AHEAD_BYTES
        : REDUCED_READ_AHEAD_BYTES;
  }

  @Override
  public RecvByteBufAllocator.Handle newHandle() {
    return new MaxMessageHandle() {
      @Override
      public int guess() {
        return isInputMemoryShort(accounts) ? SMALL_BUFFER_BYTES : BUFFER_BYTES;
      }
    };
  }
}
