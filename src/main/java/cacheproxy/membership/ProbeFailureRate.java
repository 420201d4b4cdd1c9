package cacheproxy.membership;

/**
 * Moving average of the fraction of this proxy's probes that fail although their target is present,
 * and the number of probe attempts that results from it. The number is chosen so that, if all
 * members do the same, lost datagrams cause fewer than {@link #FALSE_SUSPICIONS_PER_INTERVAL} false
 * suspicions in the tier per probe interval. More would exceed the byte budget for updates.
 */
final class ProbeFailureRate {
  private static final double SAMPLE_WEIGHT = 1 / 16.0;
  private static final double FALSE_SUSPICIONS_PER_INTERVAL = 0.02;
  private static final int MAX_ATTEMPTS = 4;
  private static final double NEGLIGIBLE_RATE = 1e-6;
  private static final double MAX_RATE = 0.99;

  private final int tierSize;
  private final boolean adaptive;
  private double rate;

  /**
   * Creates an average that starts at 0.
   *
   * @param adaptive if false, one attempt is enough at any failure rate
   */
  ProbeFailureRate(int tierSize, boolean adaptive) {
    this.tierSize = tierSize;
    this.adaptive = adaptive;
  }

  void record(boolean failed) {
    rate += ((failed ? 1 : 0) - rate) * SAMPLE_WEIGHT;
  }

  /** Returns how many probes in a row have to fail before their target is suspected. */
  int requiredAttempts() {
    if (!adaptive || rate < NEGLIGIBLE_RATE) {
      return 1;
    }
    double attempts =
        Math.log(FALSE_SUSPICIONS_PER_INTERVAL / tierSize) / Math.log(Math.min(MAX_RATE, rate));
    return (int) Math.max(1, Math.min(MAX_ATTEMPTS, Math.ceil(attempts)));
  }
}
