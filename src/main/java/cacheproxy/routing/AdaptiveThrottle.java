package cacheproxy.routing;

/**
 * Client-side adaptive throttling: compares the attempts sent to a server with its timely answers,
 * both as exponentially decayed counts. Keeps an overloaded server from working on requests whose
 * clients have already given up. Times are in milliseconds.
 */
final class AdaptiveThrottle {
  /**
   * Half-life of the counts. A proxy with a few fetches per second still counts about ten fetches
   * in this time.
   */
  private static final double HALF_LIFE_MS = 4000;

  /**
   * Attempts allowed per timely answer. Above 1, a server stays fully loaded and its recovery is
   * noticed.
   */
  static final double MAX_ATTEMPTS_PER_ANSWER = 1.2;

  /** Prevents a division by zero when all requests are retries. */
  private static final double MIN_FRACTION = 1e-9;

  private double attempts;
  private double timelyAnswers;
  private double requests;
  private double retries;
  private double updatedMs;

  /** Returns the fraction of a count that is left after this time. */
  static double decay(double elapsedMs) {
    return Math.pow(0.5, elapsedMs / HALF_LIFE_MS);
  }

  private void decayTo(double now) {
    double factor = decay(now - updatedMs);
    attempts *= factor;
    timelyAnswers *= factor;
    requests *= factor;
    retries *= factor;
    updatedMs = now;
  }

  /**
   * Returns the fraction of requests that should not be sent; zero or negative if all may be sent.
   */
  double excessFraction(double now) {
    decayTo(now);
    return (attempts - MAX_ATTEMPTS_PER_ANSWER * timelyAnswers - 1) / (attempts + 1);
  }

  /**
   * Counts a request and returns the probability of rejecting it, such that in total the fraction
   * {@code excess} of requests is rejected. Retries by clients are rejected before first attempts:
   * rejected clients retry immediately and would take capacity from first attempts, and a retry has
   * already used up part of its latency objective. The drawback is that a client that was rejected
   * at random is likely to be rejected again.
   */
  double fractionToReject(double now, boolean retry, double excess) {
    decayTo(now);
    requests++;
    retries += retry ? 1 : 0;
    double retryFraction = retries / requests;
    return retry
        ? Math.min(1, excess / retryFraction)
        : Math.max(0, (excess - retryFraction) / (1 - retryFraction + MIN_FRACTION));
  }

  /** Returns the ratio of attempts to timely answers; 1 if all attempts are answered in time. */
  double attemptsPerAnswer(double now) {
    decayTo(now);
    return Math.max(1, (attempts + 1) / (timelyAnswers + 1));
  }

  void countAttempt(double now) {
    decayTo(now);
    attempts++;
  }

  /** Counts an answer that arrived within the latency objective. */
  void countTimelyAnswer(double now) {
    decayTo(now);
    timelyAnswers++;
  }
}
