package cacheproxy.overload;

/**
 * Computes the fraction of requests to reject from the delay of the event loop. It is an integral
 * controller on that delay, damped by the trend of the delay, as PIE is for packets (RFC 8033,
 * section 4.2). The delay is that of a request that arrives at a random time. More requests arrive
 * during a long iteration than during a short one, so the mean delay is the sum of the squared
 * iteration times divided by the interval. Not thread-safe: used only on the event loop thread.
 */
final class PieRejectionController {
  /**
   * The interval between updates of the ratio, in milliseconds. Updates happen between iterations,
   * so an interval with a long iteration is longer.
   */
  static final double UPDATE_INTERVAL_MS = 20;

  /**
   * The increase of the ratio per interval at a delay of twice the target. The ratio decreases by
   * as much per interval at a delay of 0.
   */
  static final double INTEGRAL_GAIN = 0.03;

  /**
   * The increase of the ratio when the delay rises by the target delay from one interval to the
   * next. The ratio decreases by as much when the delay falls by the target delay.
   */
  static final double TREND_GAIN = 0.12;

  /**
   * The maximum deviation and the maximum trend of the delay, as multiples of the target delay.
   * They are limited so that a single pause of the process does not reject most requests.
   */
  static final double MAX_DEVIATION = 2;

  /** A longer interval counts as at most this many update intervals. */
  static final double MAX_INTERVALS = 3;

  /**
   * The maximum ratio. Some requests are always admitted, because their effect on the delay shows
   * when capacity is available again.
   */
  static final double MAX_RATIO = 0.95;

  /** A smaller ratio counts as 0, so that nothing is rejected under normal load. */
  static final double MIN_RATIO = 0.02;

  private final double targetDelayMs;
  private boolean started;
  private double intervalStartMs;
  private double sumOfSquares;
  private double meanDelayMs;
  private double ratio;

  /**
   * Creates a controller that initially admits all requests.
   *
   * @param targetDelayMs the event loop delay that the controller aims for under overload, in
   *     milliseconds, more than 0
   * @throws IllegalArgumentException if the target is not positive
   */
  PieRejectionController(double targetDelayMs) {
    if (!(targetDelayMs > 0)) {
      throw new IllegalArgumentException(
          "target delay must be positive, got " + targetDelayMs + " ms");
    }
    this.targetDelayMs = targetDelayMs;
  }

  /** Returns the event loop delay that the controller aims for, in milliseconds. */
  double targetDelayMs() {
    return targetDelayMs;
  }

  /**
   * Records an iteration of the event loop. Requests that arrived during the iteration had to wait
   * for its end.
   */
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

  /** Returns the fraction of the requests to reject, from 0 to {@link #MAX_RATIO}. */
  double rejectionRatio() {
    return ratio < MIN_RATIO ? 0 : ratio;
  }

  /** Returns the mean delay in the last complete interval, in milliseconds. */
  double meanDelayMs() {
    return meanDelayMs;
  }
}
