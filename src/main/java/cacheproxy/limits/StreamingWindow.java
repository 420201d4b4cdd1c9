package cacheproxy.limits;

/**
 * Flow control for streamed values: decides how many bytes of a large value the proxy buffers for
 * its client before it stops reading from the upstream connection. The rest of the value stays on
 * the upstream server and in kernel buffers, so that the proxy can stream more large values at once
 * than fit into its memory.
 */
public final class StreamingWindow {
  /**
   * The normal window of each value. With a smaller window, the upstream server and the client
   * would wait for each other in turn. Each streamed value uses up to this much memory.
   */
  public static final int MIN_WINDOW_BYTES = 64 << 10;

  /**
   * The window while other requests wait behind the value on the same upstream connection, so that
   * a slow client does not delay them. It is used only while less than half of the capacity for
   * streamed values is reserved.
   */
  public static final int MAX_WINDOW_BYTES = 1 << 20;

  /**
   * From this utilization on, the proxy reads more of a value only after the client has read all
   * pending bytes.
   */
  static final double NO_READ_AHEAD_FROM = 0.75;

  private StreamingWindow() {}

  /**
   * Returns whether the proxy should read more of a value from its upstream connection.
   *
   * @param pendingBytes buffered bytes of this value that the client has not read yet
   * @param requestsBehind the number of requests that wait behind the value on its upstream
   *     connection
   * @param reservedBytes bytes reserved for all streamed values
   * @param maxBytes the bound on {@code reservedBytes}
   */
  public static boolean shouldRead(
      long pendingBytes, int requestsBehind, long reservedBytes, long maxBytes) {
    if (pendingBytes == 0) {
      return true; // each value makes progress regardless of the memory reserved for others
    }
    if (reservedBytes >= maxBytes * NO_READ_AHEAD_FROM) {
      return false;
    }
    boolean wide = requestsBehind > 0 && reservedBytes < maxBytes / 2;
    return pendingBytes < (wide ? MAX_WINDOW_BYTES : MIN_WINDOW_BYTES);
  }
}
