package cacheproxy.limits;

/**
 * The slowest that a peer may be while it owes bytes or is owed some.
 *
 * @param bytesPerS bytes a second, more than 0
 * @param graceMs how far behind that rate it may fall, in milliseconds, 0 or more
 */
public record MinimumRate(double bytesPerS, double graceMs) {
  public MinimumRate {
    if (!(bytesPerS > 0) || !(graceMs >= 0)) {
      throw new IllegalArgumentException(bytesPerS + " bytes a second after " + graceMs + " ms");
    }
  }
}
