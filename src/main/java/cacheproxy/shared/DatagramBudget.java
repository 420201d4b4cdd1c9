package cacheproxy.shared;

/**
 * A token bucket of the bytes that one proxy may send to others: it fills at a constant rate and
 * holds at most {@value #BURST_SECONDS} seconds' worth. Times in milliseconds of one clock that
 * does not go back; one thread.
 */
final class DatagramBudget {
  private static final double BURST_SECONDS = 2;

  private final double bytesPerSecond;
  private final double maxBytes;
  private double availableBytes;
  private double refilledMs;

  /** A full bucket. */
  DatagramBudget(double bytesPerSecond, double now) {
    this.bytesPerSecond = bytesPerSecond;
    maxBytes = BURST_SECONDS * bytesPerSecond;
    availableBytes = maxBytes;
    refilledMs = now;
  }

  /**
   * Whether so many bytes may be sent now.
   *
   * @param reservedShare part of the full bucket, 0 to 1, that must be left afterwards
   */
  boolean allows(double now, double bytes, double reservedShare) {
    double refill = (now - refilledMs) * bytesPerSecond / 1000;
    availableBytes = Math.min(maxBytes, availableBytes + refill);
    refilledMs = now;
    return availableBytes - bytes >= reservedShare * maxBytes;
  }

  /** Takes the bytes that were sent. */
  void spend(int bytes) {
    availableBytes -= bytes;
  }
}
