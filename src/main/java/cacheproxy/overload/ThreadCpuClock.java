package cacheproxy.overload;

import java.util.OptionalDouble;

/**
 * Measures a thread's processor time from its Linux {@code schedstat} line: nanoseconds on a
 * processor, nanoseconds runnable without a processor, number of time slices. Used by the event
 * loop's thread only.
 */
final class ThreadCpuClock {
  private static final double NANOS_PER_MS = 1e6;

  private boolean hasReading;
  private double readMs;
  private double runningMs;
  private double waitingMs;
  private OptionalDouble runningRatio = OptionalDouble.empty();
  private OptionalDouble waitingRatio = OptionalDouble.empty();

  /** Takes the line as it is now; a line of another form is ignored. */
  void read(double nowMs, String schedstat) {
    int first = schedstat.indexOf(' ');
    int second = schedstat.indexOf(' ', first + 1);
    double running;
    double waiting;
    try {
      running = millis(schedstat.substring(0, Math.max(0, first)));
      waiting = millis(schedstat.substring(first + 1, Math.max(first + 1, second)));
    } catch (NumberFormatException e) {
      return; // the system has no such figures
    }
    if (hasReading && nowMs > readMs) {
      runningRatio = OptionalDouble.of((running - runningMs) / (nowMs - readMs));
      waitingRatio = OptionalDouble.of((waiting - waitingMs) / (nowMs - readMs));
    }
    hasReading = true;
    runningMs = running;
    waitingMs = waiting;
    readMs = nowMs;
  }

  private static double millis(String nanos) {
    return Long.parseLong(nanos) / NANOS_PER_MS;
  }

  /** The part of the time between the last two lines in which it ran; empty: not known. */
  OptionalDouble runningRatio() {
    return runningRatio;
  }

  /** The part of that time in which it was runnable without a processor; empty: not known. */
  OptionalDouble waitingRatio() {
    return waitingRatio;
  }
}
