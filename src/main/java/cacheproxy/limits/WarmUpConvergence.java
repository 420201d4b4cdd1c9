package cacheproxy.limits;

import java.util.OptionalDouble;

/**
 * Detects that warm-up requests have stopped getting cheaper. Requests are grouped into batches of
 * equal parts; a batch is represented by its cheapest part, because pauses of a shared processor
 * lie in some parts and not in all. The warm-up has converged when several batches in a row gain
 * little on the best one. Used by the event loop's thread only.
 */
public final class WarmUpConvergence {
  /** A batch that is cheaper than the best so far by less than this part counts as stable. */
  static final double MIN_GAIN = 0.10;

  /**
   * A batch that costs more than this many times the best so far had a pause of the processor in
   * each part and is ignored. Where that goes on, only the time budget ends the warm-up.
   */
  static final double MAX_COST_RATIO = 1.5;

  /**
   * Stable batches in a row that are needed: one alone may be the compiler's use of the processor.
   */
  static final int STABLE_BATCHES = 2;

  private final int batchRequests;
  private final int partRequests;
  private final int minRequests;
  private int requests;
  private double partNanos;
  private double cheapestPartNanos = Double.MAX_VALUE;
  private double bestPartNanos = Double.MAX_VALUE;
  private int stableBatches;

  /**
   * Creates a detector.
   *
   * @param batchRequests requests of a batch, a multiple of {@code partRequests}
   * @param partRequests requests whose cost is summed up, enough for each kind of request to be in
   *     each sum
   * @param minRequests requests before which it does not converge: code that has run less often is
   *     not compiled
   * @throws IllegalArgumentException if the sizes do not fit each other
   */
  public WarmUpConvergence(int batchRequests, int partRequests, int minRequests) {
    if (partRequests < 1
        || batchRequests < partRequests
        || batchRequests % partRequests != 0
        || minRequests < 0) {
      throw new IllegalArgumentException(
          "batches of "
              + batchRequests
              + " in parts of "
              + partRequests
              + ", at least "
              + minRequests);
    }
    this.batchRequests = batchRequests;
    this.partRequests = partRequests;
    this.minRequests = minRequests;
  }

  /** Records one more request that took this many nanoseconds of the loop's time. */
  public void recordRequest(double nanos) {
    requests++;
    partNanos += nanos;
    if (requests % partRequests == 0) {
      cheapestPartNanos = Math.min(cheapestPartNanos, partNanos);
      partNanos = 0;
    }
    if (requests % batchRequests == 0) {
      endBatch();
    }
  }

  private void endBatch() {
    if (cheapestPartNanos <= bestPartNanos * MAX_COST_RATIO) {
      boolean stable = cheapestPartNanos > bestPartNanos * (1 - MIN_GAIN);
      stableBatches = stable ? stableBatches + 1 : 0;
    }
    bestPartNanos = Math.min(bestPartNanos, cheapestPartNanos);
    cheapestPartNanos = Double.MAX_VALUE;
  }

  /** How many requests have been recorded. */
  public int requests() {
    return requests;
  }

  /** Nanoseconds a request in the cheapest part so far; empty before the first batch has ended. */
  public OptionalDouble bestNanosPerRequest() {
    return bestPartNanos == Double.MAX_VALUE
        ? OptionalDouble.empty()
        : OptionalDouble.of(bestPartNanos / partRequests);
  }

  /** Whether the cost of a request has stopped falling. */
  public boolean hasConverged() {
    return requests >= minRequests && stableBatches >= STABLE_BATCHES;
  }
}
