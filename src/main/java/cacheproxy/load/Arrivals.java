package cacheproxy.load;

import java.util.SplittableRandom;

/**
 * When requests are due, drawn ahead of the load and whatever becomes of it: clients do not wait
 * for one another's answers. Times in milliseconds from the load's start, strictly by the seed.
 */
public final class Arrivals {
  private final double perMs;
  private final LoadProfile shape;
  private final SplittableRandom random;
  private double atMs;

  /** Of a request, until the next; the first of even ones is due in the middle of its step. */
  private double first = 0.5;

  /**
   * @param perSecond at a multiple of 1, more than 0
   * @param poisson by chance, else as evenly as the shape allows
   */
  public Arrivals(double perSecond, LoadProfile shape, boolean poisson, long seed) {
    if (!(perSecond > 0)) {
      throw new IllegalArgumentException(perSecond + " requests a second");
    }
    perMs = perSecond / 1000;
    this.shape = shape;
    random = poisson ? new SplittableRandom(seed) : null;
  }

  /** When the next one is due; infinite: none is within an hour. */
  public double next() {
    double giveUp = atMs + 3_600_000;
    if (random == null) {
      // Evenly in the integral of the rate, by steps that are small against the shapes' times.
      double left = first;
      first = 1;
      while (atMs < giveUp) {
        double rate = perMs * shape.at(atMs);
        double step = Math.min(1, rate > 0 ? left / rate : 1);
        atMs += step;
        left -= rate * step;
        if (left <= 1e-9) {
          return atMs;
        }
      }
      return Double.POSITIVE_INFINITY;
    }
    double most = perMs * shape.most(); // thinning: drawn at the greatest rate, and kept by chance
    while (atMs < giveUp) {
      atMs -= Math.log(1 - random.nextDouble()) / most;
      if (random.nextDouble() * shape.most() < shape.at(atMs)) {
        return atMs;
      }
    }
    return Double.POSITIVE_INFINITY;
  }
}
