package cacheproxy.membership;

/**
 * A token bucket that limits the bytes of all sent messages. Its capacity is the number of bytes
 * that may be sent in {@link #CAPACITY_SECONDS}.
 */
final class SendBudget {
  private static final double CAPACITY_SECONDS = 2;
  private static final double MS_PER_SECOND = 1000;

  private final double bytesPerSecond;
  private final double capacityBytes;
  private double availableBytes;
  private double refilledMs;

  SendBudget(double bytesPerSecond, double nowMs) {
    this.bytesPerSecond = bytesPerSecond;
    capacityBytes = CAPACITY_SECONDS * bytesPerSecond;
    availableBytes = capacityBytes;
    refilledMs = nowMs;
  }

  /** Adds the bytes that have become available since the last call. */
  void refill(double nowMs) {
    double addedBytes = (nowMs - refilledMs) * bytesPerSecond / MS_PER_SECOND;
    availableBytes = Math.min(capacityBytes, availableBytes + addedBytes);
    refilledMs = nowMs;
  }

  /**
   * Returns whether at least this fraction of the capacity remains available after spending {@code
   * bytes}.
   */
  boolean allows(int bytes, double reservedFraction) {
    return availableBytes >= reservedFraction * capacityBytes + bytes;
  }

  /** Returns whether the available bytes are less than this fraction of the capacity. */
  boolean isBelow(double fraction) {
    return availableBytes < fraction * capacityBytes;
  }

  void spend(int bytes) {
    availableBytes -= bytes;
  }
}
