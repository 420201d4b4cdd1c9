package cacheproxy.membership;

/**
 * Intervals and timeouts in milliseconds of one proxy's own clock, and the bytes it may send.
 *
 * @param probeIntervalMs one member is probed in each interval
 * @param directTimeoutMs a probe without an answer after this is repeated through other members
 * @param probeTimeoutMs a probe without any answer after this has failed; a message from a member
 *     within this time also refutes a suspicion
 * @param suspicionTimeoutMs the least time a suspect has to refute, besides the time that updates
 *     take through the tier; a process paused for less is not declared dead
 * @param pauseThresholdMs a timer that fires later than this shows that the process was paused
 * @param bytesPerSecond the most bytes to send
 */
public record Timing(
    double probeIntervalMs,
    double directTimeoutMs,
    double probeTimeoutMs,
    double suspicionTimeoutMs,
    double pauseThresholdMs,
    double bytesPerSecond) {
  /** The settings' defaults. */
  public static final Timing DEFAULTS = new Timing(500, 250, 900, 4700, 400, 1800);

  /** A member that has heard from nobody for this long distrusts its failure detector. */
  static final double SILENCE_MS = 2500;

  /** A leaving member has gone after this: no deadline of a request is longer. */
  static final double LEAVE_MS = 4500;

  /** Who heard a member within this time probes it at once when others suspect it. */
  static final double RECENTLY_HEARD_MS = 30_000;

  /** The longest time between two ticks. */
  static final double MAX_TICK_MS = 250;

  private static final double MIN_BYTES_PER_SECOND = 300;

  /** Without confirmations a suspect has this many times the shortest time to refute. */
  private static final double MAX_SUSPICION_FACTOR = 3;

  /** About how many messages with a part of the view each member receives in an interval. */
  private static final double VIEWS_PER_INTERVAL = 4;

  /**
   * Checks the values.
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
              "period %s, direct %s, probe %s, suspect %s, late %s ms, %s bytes/s",
              probeIntervalMs,
              directTimeoutMs,
              probeTimeoutMs,
              suspicionTimeoutMs,
              pauseThresholdMs,
              bytesPerSecond));
    }
  }

  /**
   * Returns an estimate of the time in ms until an update has reached all members: a message holds
   * only a section of a large view.
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
   * Returns the shortest time in ms to refute, with all confirmations: enough for the suspicion to
   * reach the suspect and for the refutation to come back.
   */
  double minSuspicionMs(int tierSize) {
    return suspicionTimeoutMs + 2 * disseminationMs(tierSize);
  }

  /**
   * Returns the time in ms to refute, as in Lifeguard: it falls with the logarithm of the number of
   * independent confirmations.
   *
   * @param confirmations how many have confirmed, besides the first accuser
   * @param maxConfirmations how many count; 0 or less: none can be expected
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
