package cacheproxy.membership;

/**
 * Intervals and timeouts of the protocol, in milliseconds, and the limit of bytes sent per second.
 *
 * @param probeIntervalMs one member is probed in each interval
 * @param directTimeoutMs if a probe is not answered within this time, other members are asked to
 *     probe the target
 * @param probeTimeoutMs a probe that is answered neither directly nor indirectly within this time
 *     has failed. A reported suspicion is refuted if a message from the suspect arrived within this
 *     time
 * @param suspicionTimeoutMs the minimum time that a suspect has to refute, in addition to the time
 *     that updates take to reach the tier. A process that is paused for less is not declared dead
 * @param pauseThresholdMs if a timer fires later than planned by more than this, the process is
 *     considered to have been paused
 * @param bytesPerSecond the maximum number of bytes sent per second
 */
public record Timing(
    double probeIntervalMs,
    double directTimeoutMs,
    double probeTimeoutMs,
    double suspicionTimeoutMs,
    double pauseThresholdMs,
    double bytesPerSecond) {
  /** Defaults of the operator's settings. */
  public static final Timing DEFAULTS = new Timing(500, 250, 900, 4700, 400, 1800);

  /**
   * A member that has received no message for this long treats its failure detector as unreliable.
   */
  static final double SILENCE_MS = 2500;

  /**
   * A leaving member is considered gone after this time. No request has a longer deadline, so its
   * last requests have ended by then.
   */
  static final double LEAVE_MS = 4500;

  /**
   * If another proxy reports a suspicion, a proxy that has received a message from the suspect
   * within this time probes it at once.
   */
  static final double RECENTLY_HEARD_MS = 30_000;

  /** Maximum time between two calls of {@link Membership#tick}. */
  static final double MAX_TICK_MS = 250;

  private static final double MIN_BYTES_PER_SECOND = 300;

  /** Ratio between the time to refute without confirmations and the time with all confirmations. */
  private static final double MAX_SUSPICION_FACTOR = 3;

  /**
   * Approximate number of messages with a view section that each member receives in a probe
   * interval.
   */
  private static final double VIEWS_PER_INTERVAL = 4;

  /**
   * Validates the values.
   *
   * @throws IllegalArgumentException if a value is not positive, the probe timeout is not longer
   *     than the direct one, or fewer than 300 bytes per second are allowed
   */
  public Timing {
    boolean positive =
        probeIntervalMs > 0
            && directTimeoutMs > 0
            && suspicionTimeoutMs > 0
            && pauseThresholdMs > 0;
    if (!positive
        || !(probeTimeoutMs > directTimeoutMs)
        || !(bytesPerSecond >= MIN_BYTES_PER_SECOND)) {
      throw new IllegalArgumentException(
          String.format(
              "invalid membership timing: probe interval %s, direct timeout %s, probe timeout %s,"
                  + " suspicion timeout %s, pause threshold %s ms, %s bytes/s",
              probeIntervalMs,
              directTimeoutMs,
              probeTimeoutMs,
              suspicionTimeoutMs,
              pauseThresholdMs,
              bytesPerSecond));
    }
  }

  /**
   * Estimates the time in ms until an update has reached all members. It grows with the tier, as a
   * message carries only a section of a large view.
   */
  double disseminationMs(int tierSize) {
    double messagesPerView =
        Math.max(1, (double) tierSize / MessageCodec.maxStatuses(MessageCodec.MAX_UPDATES));
    return messagesPerView
        * Math.log(Math.max(2, tierSize))
        / Math.log(2)
        * probeIntervalMs
        / VIEWS_PER_INTERVAL;
  }

  /**
   * Returns the time in ms that a fully confirmed suspect has to refute. It is long enough for the
   * suspicion to reach the suspect and for the refutation to return.
   */
  double minSuspicionMs(int tierSize) {
    return suspicionTimeoutMs + 2 * disseminationMs(tierSize);
  }

  /**
   * Returns the time in ms that a suspect has to refute. As in Lifeguard, it decreases with the
   * logarithm of the number of independent confirmations.
   *
   * @param confirmations the number of accusers besides the first one
   * @param maxConfirmations the number of confirmations that reduces the time to its minimum; if it
   *     is 0 or less, confirmations cannot occur and the time is at its maximum
   */
  double suspicionMs(int tierSize, int confirmations, int maxConfirmations) {
    double shortest = minSuspicionMs(tierSize);
    double longest = MAX_SUSPICION_FACTOR * shortest;
    if (maxConfirmations <= 0) {
      return longest;
    }
    return longest
        - 2
            * shortest
            * Math.log(1 + Math.min(confirmations, maxConfirmations))
            / Math.log(1 + maxConfirmations);
  }
}
