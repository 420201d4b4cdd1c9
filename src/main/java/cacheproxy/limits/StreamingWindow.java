package cacheproxy.limits;

/**
 * Flow control of streamed values: how many bytes of a large value may wait for its client before
 * the upstream connection is no longer read. The rest stays with the upstream server and in the
 * system's buffers, so that more large values can be streamed at once than fit into memory.
 */
public final class StreamingWindow {
  /**
   * The window of each value. A smaller one would make server and client take turns; this one costs
   * its size for each value under way.
   */
  public static final int MIN_WINDOW_BYTES = 64 << 10;

  /**
   * The window while other requests wait behind the value on its upstream connection, so that a
   * slow client does not hold them up; only while less than half of the capacity is used.
   */
  public static final int MAX_WINDOW_BYTES = 1 << 20;

  /** From this utilization on, each value has only what arrived in one read. */
  static final double NO_WINDOW_FROM = 0.75;

  private StreamingWindow() {}

  /**
   * Whether to read more of a value.
   *
   * @param pendingBytes bytes of this value that its client has not read yet
   * @param requestsBehind requests that wait behind it on the upstream connection
   * @param reservedBytes bytes reserved for all streamed values
   * @param maxBytes the bound on {@code reservedBytes}
   */
  public static boolean shouldRead(
      long pendingBytes, int requestsBehind, long reservedBytes, long maxBytes) {
    if (pendingBytes == 0) {
      return true; // each value progresses, whatever others have reserved
    }
    if (reservedBytes >= maxBytes * NO_WINDOW_FROM) {
      return false;
    }
    boolean wide = requestsBehind > 0 && reservedBytes < maxBytes / 2;
    return pendingBytes < (wide ? MAX_WINDOW_BYTES : MIN_WINDOW_BYTES);
  }
}
