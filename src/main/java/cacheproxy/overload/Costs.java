package cacheproxy.overload;

/**
 * Processor time of a request that is served and of one that is turned away, learnt: a refusal is
 * timed by itself, and the rest of what the loop took goes to those that are served. Both fade, so
 * that what they cost now counts.
 */
public final class Costs {
  /** Counts keep this part from one span to the next, as long as {@link #ENOUGH} are left. */
  static final double KEPT = 0.9;

  /**
   * Fewer than this tell nothing. Where little comes, so many are what is told of, however old the
   * first is.
   */
  static final double ENOUGH = 20;

  /**
   * A refusal that took so many times the usual stood still in between: it is not counted with its
   * time.
   */
  static final double STOOD_STILL = 8;

  /** Reading it, before it can be timed, takes as much again. */
  static final double WITH_READING = 2;

  private double served;
  private double servedMs;
  private double refusalMs = Double.NaN;
  private int servedNow;
  private int refusedNow;

  /** A request was taken in hand. */
  public void served() {
    servedNow++;
  }

  /** A request was turned away, which took so long from when it had been read. */
  public void refused(double tookMs) {
    refusedNow++;
    double ms = WITH_READING * tookMs;
    if (Double.isNaN(refusalMs)) {
      refusalMs = ms;
    } else if (ms < STOOD_STILL * refusalMs) {
      refusalMs += (ms - refusalMs) / 64;
    } else {
      refusalMs *= 1.01; // in the end it believes that they have become so dear
    }
  }

  /** A span has ended in which the loop ran for so long. */
  public void span(double ranMs) {
    double ofRefusals = Math.min(ranMs, refusedNow * refusalMs());
    double kept = served == 0 ? 1 : Math.max(KEPT, Math.min(1, ENOUGH / served));
    served = served * kept + servedNow;
    servedMs = servedMs * kept + ranMs - ofRefusals;
    servedNow = 0;
    refusedNow = 0;
  }

  /** Whether enough were taken in hand to tell what one costs. */
  public boolean known() {
    return served + servedNow >= ENOUGH;
  }

  /** Milliseconds for each that is served; NaN: not known yet. */
  public double servedMs() {
    return served < ENOUGH ? Double.NaN : servedMs / served;
  }

  /** Milliseconds for each that is turned away; 0: none was. */
  public double refusalMs() {
    return Double.isNaN(refusalMs) ? 0 : refusalMs;
  }

  /** Requests that were read in this span so far. */
  public int read() {
    return servedNow + refusedNow;
  }
}
