package cacheproxy.shared;

/**
 * Counts for each observer how often this proxy's own attempts contradicted its evidence. The count
 * halves every {@value #HALF_LIFE_MS} ms. All times are milliseconds of one clock. Not thread-safe.
 */
final class ObserverCredibility {
  /** An observer with at least this many errors is distrusted: its evidence is not accepted. */
  private static final double MAX_ERRORS = 3;

  private static final double HALF_LIFE_MS = 60_000;

  private final boolean enabled;
  private final double[] errors;
  private final double[] updatedMs;

  /**
   * @param enabled false to trust all observers always, for tests
   */
  ObserverCredibility(int proxies, boolean enabled) {
    this.enabled = enabled;
    errors = new double[proxies];
    updatedMs = new double[proxies];
  }

  boolean isKnown(int observer) {
    return observer >= 0 && observer < errors.length;
  }

  void recordError(double now, int observer) {
    decay(now, observer);
    errors[observer]++;
  }

  boolean isDistrusted(double now, int observer) {
    return enabled && decay(now, observer) >= MAX_ERRORS;
  }

  private double decay(double now, int observer) {
    errors[observer] *= Math.pow(0.5, (now - updatedMs[observer]) / HALF_LIFE_MS);
    updatedMs[observer] = now;
    return errors[observer];
  }
}
