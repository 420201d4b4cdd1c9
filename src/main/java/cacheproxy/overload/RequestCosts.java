package cacheproxy.overload;

import java.util.OptionalDouble;

/**
 * Learns the processor time of an admitted and of a rejected request: a rejection is timed by
 * itself, and the rest of the loop's time is attributed to the admitted ones. Both are moving
 * averages. Used by the event loop's thread only; recording a request allocates nothing.
 */
final class RequestCosts {
  /** The part of the counts that an interval takes over from the one before. */
  static final double RETAINED = 0.9;

  /**
   * The costs are not known from fewer admitted requests. At a low rate this many are retained,
   * however old the first is.
   */
  static final double MIN_REQUESTS = 20;

  /** A rejection that took this many times the usual was interrupted: its time does not count. */
  static final double INTERRUPTED_RATIO = 8;

  /** Reading a request, before it can be timed, is estimated to take as long as rejecting it. */
  static final double READING_FACTOR = 2;

  /** The moving average of a rejection's time covers this many rejections. */
  private static final double AVERAGED_REJECTIONS = 64;

  /** Raises the average with each interrupted rejection, until it follows a lasting change. */
  private static final double INTERRUPTED_GROWTH = 1.01;

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

  /** Records that a request was rejected, this many milliseconds after it had been read. */
  void recordRejected(double tookMs) {
    rejectedInInterval++;
    double totalMs = READING_FACTOR * tookMs;
    if (!rejectionTimed) {
      rejectionTimed = true;
      rejectionMs = totalMs;
    } else if (totalMs < INTERRUPTED_RATIO * rejectionMs) {
      rejectionMs += (totalMs - rejectionMs) / AVERAGED_REJECTIONS;
    } else {
      rejectionMs *= INTERRUPTED_GROWTH;
    }
  }

  /** Ends an interval in which the loop ran for this many milliseconds. */
  void endInterval(double ranMs) {
    double rejectingMs = Math.min(ranMs, rejectedInInterval * rejectionMs);
    double retained = admitted == 0 ? 1 : Math.max(RETAINED, Math.min(1, MIN_REQUESTS / admitted));
    admitted = admitted * retained + admittedInInterval;
    admittedMs = admittedMs * retained + ranMs - rejectingMs;
    admittedInInterval = 0;
    rejectedInInterval = 0;
  }

  /** Whether enough requests were admitted to know their cost. */
  boolean areKnown() {
    return admitted + admittedInInterval >= MIN_REQUESTS;
  }

  /** Processor time of an admitted request in milliseconds; empty: not known yet. */
  OptionalDouble admittedMs() {
    return admitted < MIN_REQUESTS
        ? OptionalDouble.empty()
        : OptionalDouble.of(admittedMs / admitted);
  }

  /** Processor time of a rejected request in milliseconds; 0: none was rejected yet. */
  double rejectionMs() {
    return rejectionMs;
  }

  /** Requests that were read in this interval so far. */
  int requestsInInterval() {
    return admittedInInterval + rejectedInInterval;
  }
}
