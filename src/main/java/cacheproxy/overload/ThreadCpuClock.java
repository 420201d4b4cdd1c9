package cacheproxy.overload;

import java.util.OptionalDouble;

/**
 * Measures a thread's processor time from its Linux {@code schedstat} line, which holds the
 * nanoseconds on a processor, the nanoseconds spent waiting for a processor while runnable, and the
 * number of time slices. Not thread-safe: used only on the event loop thread.
 */
final class ThreadCpuClock {
  private static final double NANOS_PER_MS = 1e6;

  private boolean hasReading;
  private double readMs;
  private double runningMs;
  private double waitingMs;
  private OptionalDouble runningRatio = OptionalDouble.empty();
  private OptionalDouble waitingRatio = OptionalDouble.empty();

  /**
   * Reads the current {@code schedstat} line and updates the ratios; a malformed line is ignored.
   */
  void read(double nowMs, String schedstat) {
    int first = schedstat.indexOf(' ');
    int second = schedstat.indexOf(' ', first + 1);
    double running;
    double waiting;
    try {
      running = millis(schedstat.substring(0, Math.max(0, first)));
      waiting = millis(schedstat.substring(first + 1, Math.max(first + 1, second)));
    } catch (NumberFormatException e) {
      return; // schedstat is not available on this system
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

  /**
   * Returns the fraction of the time between the last two lines in which the thread ran on a
   * processor; empty if unknown.
   */
  OptionalDouble runningRatio() {
    return runningRatio;
  }

  /**
   * Returns the fraction of the time between the last two lines in which the thread was runnable
   * but waited for a processor; empty if unknown.
   */
  OptionalDouble waitingRatio() {
    return waitingRatio;
  }
}
