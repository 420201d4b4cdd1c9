package cacheproxy.overload;

/**
 * The part of what comes that the processor can't serve, from how long what comes has to wait for
 * the loop: an integral controller on that wait, with its trend against overshooting (as PIE does
 * for packets, RFC 8033, section 4.2). The wait is that of one who comes at any time: the longer a
 * round, the more of those who come fall into it, so that the squares of the rounds count and one
 * long round by itself does not.
 */
public final class Admission {
  /** The part is set anew so often, in milliseconds, or after a round that is longer. */
  static final double SPAN_MS = 20;

  /** A wait of twice the target adds as much in {@link #SPAN_MS}, and none takes as much off. */
  static final double GAIN = 0.03;

  /**
   * A wait that rises by the target within a span adds as much, and takes as much off where it
   * falls.
   */
  static final double TREND = 0.12;

  /**
   * A wait counts for so many times the target at most, and a span for so many: a stop must not
   * shut the door.
   */
  static final double MOST_OVER = 2;

  static final double MOST_SPANS = 3;

  /** Some are always let in: what they cost shows when there is room again. */
  static final double MOST = 0.95;

  /** Below this the part is none, so that it rests at zero where all is well. */
  static final double LEAST = 0.02;

  private final double targetMs;
  private double startedMs = Double.NaN;
  private double squares;
  private double waitMs;
  private double excess;

  /**
   * @param targetMs the wait that is aimed at while not all fit, in milliseconds
   */
  public Admission(double targetMs) {
    if (!(targetMs > 0)) {
      throw new IllegalArgumentException("target of " + targetMs + " ms");
    }
    this.targetMs = targetMs;
  }

  public double targetMs() {
    return targetMs;
  }

  /** A round has ended that kept whoever came meanwhile for so long. */
  public void round(double nowMs, double roundMs) {
    if (Double.isNaN(startedMs)) {
      startedMs = nowMs - roundMs;
    }
    squares += roundMs * roundMs;
    double span = nowMs - startedMs;
    if (span < SPAN_MS) {
      return;
    }
    double wait = squares / span;
    double spans = Math.min(MOST_SPANS, span / SPAN_MS);
    double over = Math.min(MOST_OVER, wait / targetMs - 1);
    double trend = Math.max(-MOST_OVER, Math.min(MOST_OVER, (wait - waitMs) / targetMs));
    double next = excess + GAIN * over * spans + TREND * trend;
    excess = Math.max(0, Math.min(MOST, next));
    waitMs = wait;
    startedMs = nowMs;
    squares = 0;
  }

  /** The part to turn away, from 0 to {@link #MOST}. */
  public double excess() {
    return excess < LEAST ? 0 : excess;
  }

  /** How long who came in the last span had to wait, in milliseconds. */
  public double waitMs() {
    return waitMs;
  }
}
