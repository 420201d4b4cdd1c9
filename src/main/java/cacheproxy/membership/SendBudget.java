package cacheproxy.membership;

/**
 * A token bucket of bytes out of which all messages are sent, whatever is received. It holds what
 * may be sent in two seconds.
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

  /** Adds what has become available until now. */
  void refill(double nowMs) {
    double addedBytes = (nowMs - refilledMs) * bytesPerSecond / MS_PER_SECOND;
    availableBytes = Math.min(capacityBytes, availableBytes + addedBytes);
    refilledMs = nowMs;
  }

  /** Returns whether so many bytes are available and leave this fraction of the capacity. */
  boolean allows(int bytes, double reservedFraction) {
    return availableBytes >= reservedFraction * capacityBytes + bytes;
  }

  /** Returns whether less than this fraction of the capacity is available. */
  boolean isBelow(double fraction) {
    return availableBytes < fraction * capacityBytes;
  }

  void spend(int bytes) {
    availableBytes -= bytes;
  }
}
