package cacheproxy.routing;

/**
 * Decaying counts of what a server was asked and of what it answered in time, after the adaptive
 * throttling of clients. Keeps an overloaded server from working on retries whose clients have
 * already given up. Times are in milliseconds.
 */
final class AdaptiveThrottle {
  /** Half-life of the counts: some ten fetches at a proxy with a few a second. */
  private static final double HALF_LIFE_MS = 4000;

  /** Asked for this multiple of what it answers, a server stays busy and its recovery is seen. */
  static final double HEADROOM = 1.2;

  /** Keeps a quotient finite where all are retries. */
  private static final double MIN_PART = 1e-9;

  private double asked;
  private double answered;
  private double wanted;
  private double retries;
  private double updatedMs;

  /** What is left of a count after this time. */
  static double decay(double elapsedMs) {
    return Math.pow(0.5, elapsedMs / HALF_LIFE_MS);
  }

  private void decayTo(double now) {
    double factor = decay(now - updatedMs);
    asked *= factor;
    answered *= factor;
    wanted *= factor;
    retries *= factor;
    updatedMs = now;
  }

  /** The part of the requests that should not be sent; not positive: all may be. */
  double excess(double now) {
    decayTo(now);
    return (asked - HEADROOM * answered - 1) / (asked + 1);
  }

  /**
   * Counts a request and returns the part of those like it, first attempts or retries of clients,
   * to reject so that in all the part {@code excess} is rejected. Retries are rejected first:
   * rejected clients come back at once and would take the capacity of first attempts, and a retry
   * has used up part of its latency objective. Harm: a client that was rejected by chance is
   * rejected again.
   */
  double partToReject(double now, boolean retry, double excess) {
    decayTo(now);
    wanted++;
    retries += retry ? 1 : 0;
    double part = retries / wanted;
    return retry
        ? Math.min(1, excess / part)
        : Math.max(0, (excess - part) / (1 - part + MIN_PART));
  }

  /** How many times more is asked than is answered; 1 where all is answered. */
  double pressure(double now) {
    decayTo(now);
    return Math.max(1, (asked + 1) / (answered + 1));
  }

  /** Counts an attempt. */
  void asked(double now) {
    decayTo(now);
    asked++;
  }

  /** Counts an answer in time. */
  void answered(double now) {
    decayTo(now);
    answered++;
  }
}
