package cacheproxy.load;

import java.util.SplittableRandom;

/**
 * Generates the times at which requests are due, in milliseconds from the start of the load.
 * Arrivals do not depend on answers (open loop), and equal seeds give equal times.
 */
public final class ArrivalProcess {
  private final double ratePerMs;
  private final LoadProfile profile;
  private final SplittableRandom random;
  private double atMs;

  /**
   * Expected number of arrivals between the current time and the next evenly spaced arrival. The
   * first request is due after half an interval.
   */
  private double spacing = 0.5;

  /**
   * @param ratePerSecond requests per second where the profile's multiple is 1; greater than 0
   * @param poisson true for a Poisson process, false for evenly spaced requests
   */
  public ArrivalProcess(double ratePerSecond, LoadProfile profile, boolean poisson, long seed) {
    if (!(ratePerSecond > 0)) {
      throw new IllegalArgumentException(
          ratePerSecond + " requests per second: the rate must be positive");
    }
    ratePerMs = ratePerSecond / 1000;
    this.profile = profile;
    random = poisson ? new SplittableRandom(seed) : null;
  }

  /**
   * Returns the time at which the next request is due, or infinity if none is due within an hour
   * after the previous one.
   */
  public double nextArrivalMs() {
    double searchLimitMs = atMs + 3_600_000;
    if (random == null) {
      // Integrates the rate in steps of at most 1 ms until one more request is due. The steps are
      // short compared with the periods of the load profiles.
      double remaining = spacing;
      spacing = 1;
      while (atMs < searchLimitMs) {
        double rate = ratePerMs * profile.multipleAt(atMs);
        double step = Math.min(1, rate > 0 ? remaining / rate : 1);
        atMs += step;
        remaining -= rate * step;
        if (remaining <= 1e-9) {
          return atMs;
        }
      }
      return Double.POSITIVE_INFINITY;
    }
    // Thinning: candidates are drawn at the maximum rate and accepted with probability
    // rate / maximum rate.
    double maxRatePerMs = ratePerMs * profile.maxMultiple();
    while (atMs < searchLimitMs) {
      atMs -= Math.log(1 - random.nextDouble()) / maxRatePerMs;
      if (random.nextDouble() * profile.maxMultiple() < profile.multipleAt(atMs)) {
        return atMs;
      }
    }
    return Double.POSITIVE_INFINITY;
  }
}
