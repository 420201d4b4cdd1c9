package cacheproxy.shared;

/**
 * Settings of {@link SharedState}. All but {@code me} and {@code zone} are the same at all proxies
 * of a tier.
 *
 * @param proxies the number of proxies in the configuration, 2 to 65,534
 * @param me this proxy's number, from 0
 * @param zone this proxy's zone
 * @param overloadFactor the multiple of its capacity at which a warming-up node fails from overload
 * @param overloadWindowMs the window over which that load is measured
 * @param bytesPerSecond limit on the bytes that this proxy sends to all others, at least {@value
 *     #MIN_BYTES_PER_SECOND}
 * @param healthVerdicts whether proxies share evidence on the health of nodes
 * @param slowStartQuota whether proxies share the quota of warming-up nodes
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
  /** The default where the operator's file does not set the value. */
  public static final double DEFAULT_BYTES_PER_SECOND = 2000;

  private static final double MIN_BYTES_PER_SECOND = 300;
  private static final int MAX_PROXIES = 0xFFFE;

  /**
   * Validates the settings.
   *
   * @throws IllegalArgumentException if a value is out of bounds
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
              "invalid shared state settings: proxy %s of %s, %s bytes/s, overload window %s ms",
              me, proxies, bytesPerSecond, overloadWindowMs));
    }
  }
}
