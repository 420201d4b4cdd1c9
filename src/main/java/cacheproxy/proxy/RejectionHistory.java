package cacheproxy.proxy;

/**
 * The rejections and errors received on one connection to a cache node. They carry no id, so they
 * are matched to their requests by position alone, and a duplicate of an earlier one takes the
 * position of the next request's response. Confined to the event loop.
 */
final class RejectionHistory {
  /** A duplicate of a response arrives some milliseconds after it. */
  static final double MAX_DUPLICATE_DELAY_MS = 20;

  private double lastRejectionMs = Double.NEGATIVE_INFINITY;
  private boolean positionsUncertain;

  /**
   * Records a rejection or error.
   *
   * @param receivedMs when it reached this machine, in milliseconds
   * @param readMs when it was read, in milliseconds
   */
  void rejected(double receivedMs, double readMs) {
    positionsUncertain |= mayBeDuplicated(receivedMs);
    lastRejectionMs = readMs;
  }

  /** Records a response with the id of the request at its position. */
  void identified() {
    positionsUncertain = false;
  }

  /**
   * Whether a duplicate may have arrived since the last response with an id, so that a rejection
   * can belong to another request than the one at its position.
   */
  boolean arePositionsUncertain() {
    return positionsUncertain;
  }

  /** Whether a duplicate of the last one may still arrive. */
  boolean mayBeDuplicated(double nowMs) {
    return remainingMs(nowMs) > 0;
  }

  /** How long a duplicate of the last one may still arrive, in milliseconds; 0 if not. */
  double remainingMs(double nowMs) {
    return Math.max(0, lastRejectionMs + MAX_DUPLICATE_DELAY_MS - nowMs);
  }
}
