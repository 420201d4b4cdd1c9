package cacheproxy.membership;

import java.util.Arrays;
import java.util.OptionalDouble;

/** The latest round-trip times of direct probes. */
final class RoundTripTimes {
  private static final int WINDOW_SAMPLES = 15;

  private final double[] latestMs = new double[WINDOW_SAMPLES];
  private int recorded;

  void record(double roundTripMs) {
    latestMs[recorded++ % WINDOW_SAMPLES] = roundTripMs;
  }

  /** Returns the median in ms, or empty if no round-trip time has been recorded. */
  OptionalDouble medianMs() {
    int count = Math.min(recorded, WINDOW_SAMPLES);
    if (count == 0) {
      return OptionalDouble.empty();
    }
    double[] sorted = Arrays.copyOf(latestMs, count);
    Arrays.sort(sorted);
    return OptionalDouble.of(sorted[count / 2]);
  }
}
