package cacheproxy.model;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Failure detectors that were not chosen, in virtual time, to be compared with {@code membership}:
 * a message from each to all others in each period, judged by a fixed time or by phi accrual
 * (Hayashibara 2004: the time since the last one against the mean and the spread of those before).
 * Pairs are independent, so one pair at a time is played. Times in milliseconds.
 */
public final class Detectors {
  /** What a watcher sees of one that lives, and of one that dies. */
  public record Figures(
      double falsePerHour, double knownMedianMs, double knownMostMs, double bytesPerS) {}

  private static final int BYTES = 24;
  private static final int WINDOW = 100;

  /** Of the gaps, so that a perfectly regular sender is not accused at once. */
  private static final double LEAST_SPREAD_MS = 50;

  private Detectors() {}

  /**
   * @param periodMs between two messages
   * @param timeoutMs with none for so long it is dead; infinite: by phi
   * @param phi the level at which it is dead
   * @param pauseEveryMs the watcher stands still for 5 s so often, on the mean; infinite: never
   */
  public static Figures play(
      int tier,
      double periodMs,
      double timeoutMs,
      double phi,
      double loss,
      double pauseEveryMs,
      double forMs,
      long seed) {
    SplittableRandom lots = new SplittableRandom(seed);
    double falseVerdicts = 0;
    int pairs = 20;
    double[] known = new double[pairs];
    for (int pair = 0; pair < pairs; pair++) {
      ArrayDeque<Double> gaps = new ArrayDeque<>();
      double last = 0;
      boolean dead = false;
      double pausedUntil = 0;
      for (double at = periodMs; at < forMs; at += periodMs) {
        boolean arrives = lots.nextDouble() >= loss;
        double now = at + 1 - 8 * Math.log(1 - lots.nextDouble());
        if (lots.nextDouble() < periodMs / pauseEveryMs) {
          pausedUntil = now + 5000;
        }
        if (now < pausedUntil) {
          continue; // it is read later, and the timer that was due comes first
        }
        boolean over = now - last > limit(timeoutMs, phi, gaps, periodMs);
        falseVerdicts += over && !dead ? 1 : 0;
        dead = over;
        if (arrives) {
          gaps.add(now - last);
          if (gaps.size() > WINDOW) {
            gaps.poll();
          }
          last = now;
          dead = false;
        }
      }
      known[pair] = limit(timeoutMs, phi, gaps, periodMs) - lots.nextDouble() * periodMs;
    }
    Arrays.sort(known);
    return new Figures(
        falseVerdicts / pairs * (tier - 1) * tier * 3_600_000 / forMs,
        known[pairs / 2],
        known[pairs - 1],
        (tier - 1) * BYTES * 1000 / periodMs);
  }

  private static double limit(
      double timeoutMs, double phi, ArrayDeque<Double> gaps, double periodMs) {
    if (timeoutMs < Double.POSITIVE_INFINITY) {
      return timeoutMs;
    }
    if (gaps.size() < 10) {
      return 10 * periodMs;
    }
    double mean = gaps.stream().mapToDouble(g -> g).average().orElseThrow();
    double spread =
        Math.max(
            LEAST_SPREAD_MS,
            Math.sqrt(
                gaps.stream().mapToDouble(g -> (g - mean) * (g - mean)).average().orElseThrow()));
    // The tail of the normal distribution by its logistic approximation, turned round.
    double low = 0;
    double high = 20;
    for (int i = 0; i < 40; i++) {
      double y = (low + high) / 2;
      double e = Math.exp(-y * (1.5976 + 0.070566 * y * y));
      if (-Math.log10(e / (1 + e)) < phi) {
        low = y;
      } else {
        high = y;
      }
    }
    return mean + low * spread;
  }
}
