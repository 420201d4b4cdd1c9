package cacheproxy.limits;

/**
 * How late the event loop runs its timers: the greatest lateness within the last second, measured
 * by a periodic tick. One late tick counts for a second and not longer. Used by the event loop's
 * thread only.
 */
public final class LoopLag {
  /**
   * A tick this late counts as full utilization: a request that waits by then has waited in every
   * queue as well.
   */
  static final double FULL_LAG_MS = 250;

  private static final double WINDOW_MS = 1000;

  private final SlidingWindow latenessMs = new SlidingWindow(WINDOW_MS);

  /** Records that a tick that was due at {@code dueMs} has run now. */
  public void recordTick(double dueMs, double nowMs) {
    latenessMs.raiseTo(nowMs, Math.max(0, nowMs - dueMs));
  }

  /** The greatest lateness within the last second, in milliseconds. */
  public double maxLatenessMs(double nowMs) {
    return latenessMs.max(nowMs);
  }

  /** The lateness as a part of {@link #FULL_LAG_MS}, from 0; above 1 where it is later. */
  public double utilization(double nowMs) {
    return maxLatenessMs(nowMs) / FULL_LAG_MS;
  }
}
