package cacheproxy.load;

import java.util.Locale;

/**
 * The arrival rate over time, as a multiple of the configured rate. Times are in milliseconds from
 * the start of the load.
 */
public sealed interface LoadProfile {
  /** The multiple at this time, never negative. */
  double multipleAt(double ms);

  /** An upper bound of {@link #multipleAt}. */
  double maxMultiple();

  /** A constant rate. */
  record Steady() implements LoadProfile {
    @Override
    public double multipleAt(double ms) {
      return 1;
    }

    @Override
    public double maxMultiple() {
      return 1;
    }
  }

  /** A sine wave around the configured rate; the amplitude is a fraction of that rate. */
  record Wave(double periodMs, double amplitude) implements LoadProfile {
    @Override
    public double multipleAt(double ms) {
      return 1 + amplitude * Math.sin(2 * Math.PI * ms / periodMs);
    }

    @Override
    public double maxMultiple() {
      return 1 + amplitude;
    }
  }

  /**
   * A sudden surge, as after a release: the rate rises linearly to {@code peakMultiple} within
   * {@code riseMs}, then the excess over the configured rate halves with each {@code halfLifeMs}.
   */
  record Surge(double atMs, double riseMs, double peakMultiple, double halfLifeMs)
      implements LoadProfile {
    @Override
    public double multipleAt(double ms) {
      if (ms < atMs) {
        return 1;
      }
      double excess =
          ms < atMs + riseMs
              ? (ms - atMs) / riseMs
              : Math.pow(0.5, (ms - atMs - riseMs) / halfLifeMs);
      return 1 + (peakMultiple - 1) * excess;
    }

    @Override
    public double maxMultiple() {
      return Math.max(1, peakMultiple);
    }
  }

  /** The configured rate, multiplied by {@code multiple} from {@code atMs} on. */
  record Step(double atMs, double multiple) implements LoadProfile {
    @Override
    public double multipleAt(double ms) {
      return ms < atMs ? 1 : multiple;
    }

    @Override
    public double maxMultiple() {
      return Math.max(1, multiple);
    }
  }

  /**
   * A linear increase from 0 to the configured rate over {@code durationMs}. Shows the rate at
   * which latency rises sharply (the knee).
   */
  record Ramp(double durationMs) implements LoadProfile {
    @Override
    public double multipleAt(double ms) {
      return Math.min(1, ms / durationMs);
    }

    @Override
    public double maxMultiple() {
      return 1;
    }
  }

  /** The formats that {@link #parse} accepts, for error messages and help texts. */
  String SYNTAX =
      "steady, wave:PERIOD_S:PART, surge:AT_S:RISE_S:TIMES:HALF_S, step:AT_S:TIMES, ramp:OVER_S";

  /**
   * Parses a load profile in one of the formats of {@link #SYNTAX}; all values are decimal numbers.
   */
  static LoadProfile parse(String text) throws UsageException {
    String[] fields = text.split(":", -1);
    double[] values = new double[fields.length];
    try {
      for (int i = 1; i < fields.length; i++) {
        values[i] = Double.parseDouble(fields[i]);
        if (!(values[i] >= 0) || values[i] > 1e6) {
          throw new NumberFormatException();
        }
      }
    } catch (NumberFormatException e) {
      throw invalidShape(text);
    }
    switch (fields[0].toLowerCase(Locale.ROOT) + fields.length) {
      case "steady1":
        return new Steady();
      case "wave3":
        if (values[1] > 0 && values[2] <= 1) {
          return new Wave(values[1] * 1000, values[2]);
        }
        break;
      case "surge5":
        if (values[2] > 0 && values[4] > 0) {
          return new Surge(values[1] * 1000, values[2] * 1000, values[3], values[4] * 1000);
        }
        break;
      case "step3":
        return new Step(values[1] * 1000, values[2]);
      case "ramp2":
        if (values[1] > 0) {
          return new Ramp(values[1] * 1000);
        }
        break;
      default:
        break;
    }
    throw invalidShape(text);
  }

  private static UsageException invalidShape(String text) {
    return new UsageException("--shape " + text + " is invalid; expected one of: " + SYNTAX);
  }
}
