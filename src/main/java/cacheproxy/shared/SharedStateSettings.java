package cacheproxy.shared;

/**
 * Settings of {@link SharedState}; the same at all proxies of a tier but for number and zone.
 *
 * @param proxies how many the configuration names, 2 to 65,534
 * @param me this proxy's number, from 0
 * @param zone its zone
 * @param overloadFactor a warming-up node fails at this multiple of what it can serve
 * @param overloadWindowMs the time over which that is measured
 * @param bytesPerSecond what this proxy sends to others in all, at least {@value
 *     #MIN_BYTES_PER_SECOND}
 * @param healthVerdicts whether evidence on nodes is shared
 * @param slowStartQuota whether the quota of warming-up nodes is shared
 */
public record SharedStateSettings(
    int proxies,
    int me,
    int zone,
    double overloadFactor,
    double overloadWindowMs,
    double bytesPerSecond,
    boolean healthVerdicts,
    boolean slowStartQuota) {
  /** Used where the operator's file says nothing else. */
  public static final double DEFAULT_BYTES_PER_SECOND = 2000;

  private static final double MIN_BYTES_PER_SECOND = 300;
  private static final int MAX_PROXIES = 0xFFFE;

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException a value is out of bounds
   */
  public SharedStateSettings {
    if (proxies < 2
        || proxies > MAX_PROXIES
        || me < 0
        || me >= proxies
        || !(bytesPerSecond >= MIN_BYTES_PER_SECOND)
        || !(overloadWindowMs > 0)) {
      throw new IllegalArgumentException(
          String.format(
              "proxy %s of %s, %s bytes/s, overload window %s ms",
              me, proxies, bytesPerSecond, overloadWindowMs));
    }
  }
}
