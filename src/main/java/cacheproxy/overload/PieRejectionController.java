package cacheproxy.overload;

/**
 * Computes the part of the incoming requests that the processor can't serve, from the delay of the
 * event loop: an integral controller on that delay, damped by its trend, as PIE does for packets
 * (RFC 8033, section 4.2). The delay is that of a request that arrives at a random time: the longer
 * an iteration of the loop, the more requests fall into it, so the squares of the iterations count
 * and one long iteration by itself does not. Used by the event loop's thread only.
 */
final class PieRejectionController {
  /** The ratio is updated this often, in milliseconds, or after an iteration that is longer. */
  static final double UPDATE_INTERVAL_MS = 20;

  /** A delay of twice the target adds this much in an interval; no delay takes as much off. */
  static final double INTEGRAL_GAIN = 0.03;

  /** A delay that rises by the target within an interval adds this much, and the reverse. */
  static final double TREND_GAIN = 0.12;

  /** A deviation counts for at most this many times the target, so that a pause can't close it. */
  static final double MAX_DEVIATION = 2;

  /** A long interval counts for at most this many. */
  static final double MAX_INTERVALS = 3;

  /** Some requests are always admitted: their cost shows when there is capacity again. */
  static final double MAX_RATIO = 0.95;

  /** A smaller ratio counts as none, so that it rests at zero under normal load. */
  static final double MIN_RATIO = 0.02;

  private final double targetDelayMs;
  private boolean started;
  private double intervalStartMs;
  private double sumOfSquares;
  private double meanDelayMs;
  private double ratio;

  /**
   * Creates a controller that admits everything.
   *
   * @param targetDelayMs the delay that is aimed at under overload, in milliseconds, more than 0
   * @throws IllegalArgumentException if the target is not positive
   */
  PieRejectionController(double targetDelayMs) {
    if (!(targetDelayMs > 0)) {
      throw new IllegalArgumentException("target delay of " + targetDelayMs + " ms");
    }
    this.targetDelayMs = targetDelayMs;
  }

  /** The delay that is aimed at, in milliseconds. */
  double targetDelayMs() {
    return targetDelayMs;
  }

  /** Records an iteration of the loop that has delayed all requests that arrived during it. */
  void recordIteration(double nowMs, double iterationMs) {
    if (!started) {
      started = true;
      intervalStartMs = nowMs - iterationMs;
    }
    sumOfSquares += iterationMs * iterationMs;
    double intervalMs = nowMs - intervalStartMs;
    if (intervalMs >= UPDATE_INTERVAL_MS) {
      update(intervalMs);
      intervalStartMs = nowMs;
      sumOfSquares = 0;
    }
  }

  private void update(double intervalMs) {
    double delayMs = sumOfSquares / intervalMs;
    double intervals = Math.min(MAX_INTERVALS, intervalMs / UPDATE_INTERVAL_MS);
    double deviation = Math.min(MAX_DEVIATION, delayMs / targetDelayMs - 1);
    double change = (delayMs - meanDelayMs) / targetDelayMs;
    double trend = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, change));
    double next = ratio + INTEGRAL_GAIN * deviation * intervals + TREND_GAIN * trend;
    ratio = Math.max(0, Math.min(MAX_RATIO, next));
    meanDelayMs = delayMs;
  }

  /** The part of the requests to reject, from 0 to {@link #MAX_RATIO}. */
  double rejectionRatio() {
    return ratio < MIN_RATIO ? 0 : ratio;
  }

  /** The mean delay of the requests that arrived in the last interval, in milliseconds. */
  double meanDelayMs() {
    return meanDelayMs;
  }
}
