package cacheproxy.limits;

/**
 * Whether a start is warm, told by what a request costs and not by a span: a batch of requests
 * whose cheapest part is hardly cheaper than what was had before has nothing left to gain. The
 * cheapest of several equal parts stands for the batch, as a processor that is shared takes pauses
 * of its own, which lie in some parts and not in all.
 */
public final class WarmUpConvergence {
  /** A batch that gains less than this on the best so far counts as settled. */
  static final double GAIN = 0.10;

  /**
   * A batch that is this many times as dear as the best so far tells of the processor's pauses, one
   * in each of its parts, and nothing of the code. Harm: where that goes on, only the cap ends the
   * start.
   */
  static final double DEAR = 1.5;

  /**
   * So many settled batches in a row are asked for: one can be the compiler's turn with the
   * processor.
   */
  static final int CALM_BATCHES = 2;

  private final int batch;
  private final int part;
  private final int least;
  private int done;
  private double partNanos;
  private double cheapestPart = Double.MAX_VALUE;
  private double best = Double.MAX_VALUE;
  private int calm;

  /**
   * @param batch requests that are compared with those before
   * @param part requests that are summed up, so that all kinds of them are in each sum; divides
   *     {@code batch}
   * @param least requests without which nothing counts as settled: what has run less often is not
   *     compiled
   */
  public WarmUpConvergence(int batch, int part, int least) {
    if (part < 1 || batch < part || batch % part != 0 || least < 0) {
      throw new IllegalArgumentException(
          "parts of " + part + " in batches of " + batch + ", least " + least);
    }
    this.batch = batch;
    this.part = part;
    this.least = least;
  }

  /** One more request has been served and took this long, in nanoseconds of the loop's time. */
  public void served(double nanos) {
    done++;
    partNanos += nanos;
    if (done % part == 0) {
      cheapestPart = Math.min(cheapestPart, partNanos);
      partNanos = 0;
    }
    if (done % batch == 0) {
      if (cheapestPart <= best * DEAR) {
        calm = cheapestPart > best * (1 - GAIN) ? calm + 1 : 0;
      }
      best = Math.min(best, cheapestPart);
      cheapestPart = Double.MAX_VALUE;
    }
  }

  /** How many requests have been served. */
  public int served() {
    return done;
  }

  /**
   * Nanoseconds a request in the cheapest part so far; not a number before the first batch has
   * ended.
   */
  public double bestNanos() {
    return best == Double.MAX_VALUE ? Double.NaN : best / part;
  }

  public boolean settled() {
    return done >= least && calm >= CALM_BATCHES;
  }
}
