package cacheproxy.load;

import java.util.Locale;

/**
 * How the rate of arrivals runs over time, as a multiple of the rate that was asked for. Times in
 * milliseconds from the load's start.
 */
public sealed interface LoadProfile {
  /** The multiple at this time, never under 0. */
  double at(double ms);

  /** The greatest multiple that {@link #at} gives. */
  double most();

  /** The same all the time. */
  record Steady() implements LoadProfile {
    @Override
    public double at(double ms) {
      return 1;
    }

    @Override
    public double most() {
      return 1;
    }
  }

  /** Up and down by this part, once in a period. */
  record Wave(double periodMs, double part) implements LoadProfile {
    @Override
    public double at(double ms) {
      return 1 + part * Math.sin(2 * Math.PI * ms / periodMs);
    }

    @Override
    public double most() {
      return 1 + part;
    }
  }

  /**
   * A release evening: within the rise it comes to so many times as much, and halves in each
   * half-life after that.
   */
  record Surge(double atMs, double riseMs, double times, double halfMs) implements LoadProfile {
    @Override
    public double at(double ms) {
      if (ms < atMs) {
        return 1;
      }
      double over =
          ms < atMs + riseMs ? (ms - atMs) / riseMs : Math.pow(0.5, (ms - atMs - riseMs) / halfMs);
      return 1 + (times - 1) * over;
    }

    @Override
    public double most() {
      return Math.max(1, times);
    }
  }

  /** So many times as much from this time on. */
  record Step(double atMs, double times) implements LoadProfile {
    @Override
    public double at(double ms) {
      return ms < atMs ? 1 : times;
    }

    @Override
    public double most() {
      return Math.max(1, times);
    }
  }

  /** Evenly from nothing to the whole rate over this time: where the knee lies shows on the way. */
  record Ramp(double overMs) implements LoadProfile {
    @Override
    public double at(double ms) {
      return Math.min(1, ms / overMs);
    }

    @Override
    public double most() {
      return 1;
    }
  }

  /** What {@link #parse} takes, for error lines and help. */
  String FORMS =
      "steady, wave:PERIOD_S:PART, surge:AT_S:RISE_S:TIMES:HALF_S, step:AT_S:TIMES, ramp:OVER_S";

  /** Reads a shape as {@link #FORMS} has them; seconds and multiples are decimal numbers. */
  static LoadProfile parse(String text) throws UsageException {
    String[] words = text.split(":", -1);
    double[] n = new double[words.length];
    try {
      for (int i = 1; i < words.length; i++) {
        n[i] = Double.parseDouble(words[i]);
        if (!(n[i] >= 0) || n[i] > 1e6) {
          throw new NumberFormatException();
        }
      }
    } catch (NumberFormatException e) {
      throw bad(text);
    }
    switch (words[0].toLowerCase(Locale.ROOT) + words.length) {
      case "steady1":
        return new Steady();
      case "wave3":
        if (n[1] > 0 && n[2] <= 1) {
          return new Wave(n[1] * 1000, n[2]);
        }
        break;
      case "surge5":
        if (n[2] > 0 && n[4] > 0) {
          return new Surge(n[1] * 1000, n[2] * 1000, n[3], n[4] * 1000);
        }
        break;
      case "step3":
        return new Step(n[1] * 1000, n[2]);
      case "ramp2":
        if (n[1] > 0) {
          return new Ramp(n[1] * 1000);
        }
        break;
      default:
        break;
    }
    throw bad(text);
  }

  private static UsageException bad(String text) {
    return new UsageException("--shape " + text + ": allowed are " + FORMS);
  }
}
