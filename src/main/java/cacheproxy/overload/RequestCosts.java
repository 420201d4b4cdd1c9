package cacheproxy.overload;

import java.util.OptionalDouble;

/**
 * Estimates the processor time of an admitted and of a rejected request as moving averages. Each
 * rejection is timed; the remaining running time of the event loop is attributed to the admitted
 * requests. Not thread-safe: used only on the event loop thread. Recording a request does not
 * allocate memory.
 */
final class RequestCosts {
  /** The fraction of the accumulated count and time that is kept at the end of each interval. */
  static final double RETAINED_FRACTION = 0.9;

  /**
   * The number of admitted requests from which the costs count as known. At a low request rate the
   * totals are reduced less, so that about this many requests always remain in the average.
   */
  static final double MIN_REQUESTS = 20;

  /**
   * A rejection that took at least this many times the average is assumed to have been preempted,
   * and its time is ignored.
   */
  static final double PREEMPTED_RATIO = 8;

  /**
   * The factor from the measured time of a rejection to its total time. Reading the request can't
   * be measured and is estimated to take as long as rejecting it.
   */
  static final double READING_FACTOR = 2;

  /**
   * The moving average of the rejection time gives each new rejection a weight of 1 divided by
   * this.
   */
  private static final double AVERAGED_REJECTIONS = 64;

  /**
   * The factor by which each preempted rejection raises the average, so that the average catches up
   * if rejections become more expensive for good.
   */
  private static final double PREEMPTED_GROWTH = 1.01;

  private double admitted;
  private double admittedMs;
  private boolean rejectionTimed;
  private double rejectionMs;
  private int admittedInInterval;
  private int rejectedInInterval;

  /** Records that a request was admitted. */
  void recordAdmitted() {
    admittedInInterval++;
  }

  /** Records that a request was rejected, {@code tookMs} milliseconds after it was read. */
  void recordRejected(double tookMs) {
    rejectedInInterval++;
    double totalMs = READING_FACTOR * tookMs;
    if (!rejectionTimed) {
      rejectionTimed = true;
      rejectionMs = totalMs;
    } else if (totalMs < PREEMPTED_RATIO * rejectionMs) {
      rejectionMs += (totalMs - rejectionMs) / AVERAGED_REJECTIONS;
    } else {
      rejectionMs *= PREEMPTED_GROWTH;
    }
  }

  /** Ends an interval in which the event loop thread ran for {@code ranMs} milliseconds. */
  void endInterval(double ranMs) {
    double rejectingMs = Math.min(ranMs, rejectedInInterval * rejectionMs);
    double retained =
        admitted == 0 ? 1 : Math.max(RETAINED_FRACTION, Math.min(1, MIN_REQUESTS / admitted));
    admitted = admitted * retained + admittedInInterval;
    admittedMs = admittedMs * retained + ranMs - rejectingMs;
    admittedInInterval = 0;
    rejectedInInterval = 0;
  }

  /** Returns whether enough requests were admitted to estimate their cost. */
  boolean areKnown() {
    return admitted + admittedInInterval >= MIN_REQUESTS;
  }

  /**
   * Returns the mean processor time of an admitted request in milliseconds, or empty if it is not
   * known yet.
   */
  OptionalDouble admittedMs() {
    return admitted < MIN_REQUESTS
        ? OptionalDouble.empty()
        : OptionalDouble.of(admittedMs / admitted);
  }

  /**
   * Returns the mean processor time of a rejected request in milliseconds, or 0 if none was
   * rejected yet.
   */
  double rejectionMs() {
    return rejectionMs;
  }

  /** Returns the number of requests that were read in the current interval. */
  int requestsInInterval() {
    return admittedInInterval + rejectedInInterval;
  }
}
