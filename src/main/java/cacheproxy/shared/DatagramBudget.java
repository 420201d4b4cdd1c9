package cacheproxy.shared;

/**
 * A token bucket for the bytes that one proxy may send to other proxies. It refills at a constant
 * rate and holds at most the bytes of {@value #BURST_SECONDS} seconds. All times are milliseconds
 * of one monotonic clock. Not thread-safe.
 */
final class DatagramBudget {
  private static final double BURST_SECONDS = 2;

  private final double bytesPerSecond;
  private final double maxBytes;
  private double availableBytes;
  private double refilledMs;

  /** Creates a full bucket. */
  DatagramBudget(double bytesPerSecond, double now) {
    this.bytesPerSecond = bytesPerSecond;
    maxBytes = BURST_SECONDS * bytesPerSecond;
    availableBytes = maxBytes;
    refilledMs = now;
  }

  /**
   * Whether this number of bytes may be sent now.
   *
   * @param reservedShare share of the full bucket, 0 to 1, that must remain after sending
   */
  boolean allows(double now, double bytes, double reservedShare) {
    double refill = (now - refilledMs) * bytesPerSecond / 1000;
    availableBytes = Math.min(maxBytes, availableBytes + refill);
    refilledMs = now;
    return availableBytes - bytes >= reservedShare * maxBytes;
  }

  /** Deducts the bytes that were sent. */
  void spend(int bytes) {
    availableBytes -= bytes;
  }
}
