package cacheproxy.limits;

/**
 * The minimum rate at which a peer must send or receive bytes while a transfer is open.
 *
 * @param bytesPerSecond the rate in bytes per second, more than 0
 * @param graceMs the time deficit that the peer may accumulate against that rate before it is too
 *     slow, in milliseconds, 0 or more
 */
public record MinimumRate(double bytesPerSecond, double graceMs) {
  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if the rate is not positive or the grace is negative
   */
  public MinimumRate {
    if (!(bytesPerSecond > 0) || !(graceMs >= 0)) {
      throw new IllegalArgumentException(
          bytesPerSecond
              + " bytes per second with a grace of "
              + graceMs
              + " ms: the rate must be positive and the grace not negative");
    }
  }
}
