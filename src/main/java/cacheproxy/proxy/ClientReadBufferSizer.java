package cacheproxy.proxy;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.ByteAccounts;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Sizes the buffers into which client connections are read. While unprocessed input takes much of
 * its memory limit, the buffers are small, so that many clients that have sent more than may be
 * processed cannot exceed that limit by far. Confined to the event loop.
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
  static final int SMALL_BUFFER_BYTES = 2 << 10;

  /** The fraction of the memory limit for input from which on buffers are small. */
  private static final double SMALL_FROM_UTILIZATION = 0.5;

  private final ByteAccounts accounts;

  ClientReadBufferSizer(ByteAccounts accounts) {
    super(MAX_READS_PER_ROUND);
    this.accounts = accounts;
  }

  /** Whether unprocessed input takes so much memory that buffers are small. */
  static boolean isInputMemoryShort(ByteAccounts accounts) {
    return accounts.reservedBytes(BufferPurpose.INPUT)
        >= SMALL_FROM_UTILIZATION * accounts.maxBytes(BufferPurpose.INPUT);
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
