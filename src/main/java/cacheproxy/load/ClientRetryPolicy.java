package cacheproxy.load;

/**
 * Timeouts and retries of a simulated client: how long it waits for an answer and when it sends the
 * request again. Times are in milliseconds.
 *
 * @param maxRetries maximum number of retries after the first attempt
 * @param attemptTimeoutFraction timeout of one attempt as a fraction of the request's timeout,
 *     greater than 0 and at most 1
 * @param backoffMs mean delay before the first retry, doubled for each further retry; used where
 *     the client does not follow a Retry-After time
 * @param retryAfterFraction fraction of clients that follow the Retry-After time of a rejection,
 *     from 0 to 1
 * @param timeoutMultiplier factor on the timeouts of all request classes
 */
public record ClientRetryPolicy(
    int maxRetries,
    double attemptTimeoutFraction,
    double backoffMs,
    double retryAfterFraction,
    double timeoutMultiplier) {
  /**
   * Models the site's clients: at most two retries, 0.65 of the request's timeout for each attempt,
   * a mean delay of 25 ms before the first retry; 65% of clients follow Retry-After.
   */
  public static final ClientRetryPolicy DEFAULT = new ClientRetryPolicy(2, 0.65, 25, 0.65, 1);

  /** Returned by {@link #retryDelayMs} if the client does not retry. */
  public static final double NO_RETRY = -1;

  /** How an attempt ended. */
  public enum AttemptOutcome {
    /** Answered with a value ({@code VA}) or without one ({@code HD}). */
    SERVED,
    /** Rejected by the proxy before execution. */
    REFUSED,
    /** The connection could not be opened, so the request was not sent. */
    UNCONNECTED,
    /** Any other answer, including a malformed one; or the request timed out before it was sent. */
    FAILED,
    /** The connection closed before a complete answer, or no answer arrived in time. */
    LOST
  }

  /** Timeout of the request over all its attempts, counted from the time at which it is due. */
  public double requestTimeoutMs(RequestClass requestClass) {
    return requestClass.timeoutMs() * timeoutMultiplier;
  }

  /**
   * Timeout of an attempt that starts {@code sinceDueMs} after its request was due. A value of 0 or
   * less means that no time is left.
   */
  public double attemptTimeoutMs(RequestClass requestClass, double sinceDueMs) {
    return Math.min(
        requestTimeoutMs(requestClass) * attemptTimeoutFraction,
        requestTimeoutMs(requestClass) - sinceDueMs);
  }

  /**
   * Returns the delay before the next attempt, or {@link #NO_RETRY}.
   *
   * @param attempts number of attempts made so far
   * @param sinceDueMs time since the request was due
   * @param retryAfterMs Retry-After time of the rejection, or 0 if it had none
   * @param clientDraw random number from 0 to 1, drawn once for each request, so that a client that
   *     follows Retry-After does so on every attempt; it also sets the jitter of the backoff
   */
  public double retryDelayMs(
      RequestClass requestClass,
      AttemptOutcome outcome,
      int attempts,
      double sinceDueMs,
      double retryAfterMs,
      double clientDraw) {
    boolean notExecuted =
        outcome == AttemptOutcome.REFUSED || outcome == AttemptOutcome.UNCONNECTED;
    if (outcome == AttemptOutcome.SERVED
        || attempts > maxRetries
        || !notExecuted && !requestClass.idempotent() && !requestClass.hasIdempotencyKey()) {
      return NO_RETRY;
    }
    double delayMs = backoffMs * (1 << Math.min(attempts - 1, 10)) * (0.5 + clientDraw);
    if (retryAfterMs > 0 && clientDraw < retryAfterFraction) {
      delayMs = retryAfterMs;
    }
    return sinceDueMs + delayMs < requestTimeoutMs(requestClass) ? delayMs : NO_RETRY;
  }
}
