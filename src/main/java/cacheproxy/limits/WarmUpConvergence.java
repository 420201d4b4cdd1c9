package cacheproxy.limits;

import java.util.OptionalDouble;

/**
 * Detects that the cost of warm-up requests has stopped falling. Requests are grouped into batches,
 * and each batch is divided into parts of equal size. The cost of a batch is that of its cheapest
 * part, because preemption on a shared processor usually affects only some of the parts. The
 * warm-up has converged when several successive batches are hardly cheaper than the best one
 * before. Not thread-safe: used only on the event loop thread.
 */
public final class WarmUpConvergence {
  /**
   * A batch counts as stable if it is cheaper than the best batch so far by less than this
   * fraction.
   */
  static final double MIN_GAIN = 0.10;

  /**
   * A batch that costs more than this many times the best batch so far is ignored, because
   * preemption affected all of its parts. If this lasts, the warm-up ends only when {@link
   * WarmUpBudget} runs out.
   */
  static final double MAX_COST_RATIO = 1.5;

  /**
   * The number of successive stable batches that is required. A single one may look stable because
   * the JIT compiler uses the processor at the same time.
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
   * @param batchRequests the number of requests in a batch, a multiple of {@code partRequests}
   * @param partRequests the number of requests in a part, large enough for a part to contain each
   *     kind of warm-up request
   * @param minRequests the number of requests before which the warm-up can't converge, because code
   *     that has run less often is not compiled yet
   * @throws IllegalArgumentException if a number is out of range or {@code batchRequests} is not a
   *     multiple of {@code partRequests}
   */
  public WarmUpConvergence(int batchRequests, int partRequests, int minRequests) {
    if (partRequests < 1
        || batchRequests < partRequests
        || batchRequests % partRequests != 0
        || minRequests < 0) {
      throw new IllegalArgumentException(
          "batch size must be a multiple of a positive part size and the minimum not negative, got batches of "
              + batchRequests
              + " requests in parts of "
              + partRequests
              + ", minimum "
              + minRequests);
    }
    this.batchRequests = batchRequests;
    this.partRequests = partRequests;
    this.minRequests = minRequests;
  }

  /** Records a request that occupied the event loop for {@code nanos} nanoseconds. */
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

  /** Returns the number of recorded requests. */
  public int requests() {
    return requests;
  }

  /**
   * Returns the mean nanoseconds per request in the cheapest part so far, or empty before the first
   * batch has ended.
   */
  public OptionalDouble bestNanosPerRequest() {
    return bestPartNanos == Double.MAX_VALUE
        ? OptionalDouble.empty()
        : OptionalDouble.of(bestPartNanos / partRequests);
  }

  /** Returns whether the cost of a request has stopped falling. */
  public boolean hasConverged() {
    return requests >= minRequests && stableBatches >= STABLE_BATCHES;
  }
}
