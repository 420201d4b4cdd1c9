package cacheproxy.overload;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Counts admitted and rejected requests and formats the log line {@code not enough processor:}. The
 * text of the line must not change because docs/overload.md documents it. Not thread-safe: used
 * only on the event loop thread.
 */
final class OverloadReport {
  /**
   * The minimum time between two log lines, in milliseconds. No line is logged unless a request was
   * rejected.
   */
  static final double INTERVAL_MS = 10_000;

  /**
   * The measurements of one measurement interval of {@link CpuLoadShedder}.
   *
   * @param requestsPerSecond requests read per second
   * @param busyRatio fraction of the interval in which the event loop had work
   * @param runningRatio fraction of the interval in which the event loop thread ran on a processor;
   *     empty if unknown
   * @param waitingRatio fraction of the interval in which the thread was runnable but waited for a
   *     processor; empty if unknown
   */
  record Interval(
      double requestsPerSecond,
      double busyRatio,
      OptionalDouble runningRatio,
      OptionalDouble waitingRatio) {
    static final Interval NONE = new Interval(0, 0, OptionalDouble.empty(), OptionalDouble.empty());
  }

  private static final int PERCENT = 100;
  private static final int MICROS_PER_MS = 1000;

  private Interval interval = Interval.NONE;
  private long admitted;
  private long rejected;
  private long reportedRejected;
  private double maxDelayMs;
  private boolean hasReported;
  private double reportedMs;

  void recordAdmitted() {
    admitted++;
  }

  void recordRejected() {
    rejected++;
  }

  /** Sets the measurements that the next log line shows, and updates the maximum delay. */
  void endInterval(Interval ended, double meanDelayMs) {
    interval = ended;
    maxDelayMs = Math.max(maxDelayMs, meanDelayMs);
  }

  /**
   * Returns the log line if requests were rejected since the previous line and that line is at
   * least {@link #INTERVAL_MS} old.
   */
  Optional<String> poll(double nowMs, PieRejectionController controller, RequestCosts costs) {
    boolean tooSoon = hasReported && nowMs - reportedMs < INTERVAL_MS;
    if (rejected == reportedRejected || tooSoon) {
      return Optional.empty();
    }
    hasReported = true;
    reportedMs = nowMs;
    reportedRejected = rejected;
    String line = format(controller, costs);
    maxDelayMs = 0;
    return Optional.of(line);
  }

  private String format(PieRejectionController controller, RequestCosts costs) {
    return String.format(
        Locale.ROOT,
        "not enough processor: %d turned away of %d, %.0f/s; loop late by %.0f ms, at most"
            + " %.0f, all is taken up to %.0f; at work %.0f%%, ran %s, kept waiting %s; a request"
            + " takes %s, a refusal %.0f us",
        rejected,
        admitted + rejected,
        interval.requestsPerSecond(),
        controller.meanDelayMs(),
        maxDelayMs,
        controller.targetDelayMs(),
        PERCENT * interval.busyRatio(),
        rounded(interval.runningRatio(), PERCENT, "%"),
        rounded(interval.waitingRatio(), PERCENT, "%"),
        rounded(costs.admittedMs(), MICROS_PER_MS, " us"),
        MICROS_PER_MS * costs.rejectionMs());
  }

  private static String rounded(OptionalDouble value, int factor, String unit) {
    return value.isPresent() ? Math.round(factor * value.getAsDouble()) + unit : "unknown";
  }
}
