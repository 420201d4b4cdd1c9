package cacheproxy.limits;

/**
 * Measures how late the event loop runs its timers, by means of a periodic tick. The result is the
 * maximum lateness of the ticks within the last second, so one late tick has an effect for 1 s. Not
 * thread-safe: used only on the event loop thread.
 */
public final class LoopLag {
  /**
   * A tick this late counts as full utilization. With such a lag, requests are delayed at every
   * queue of the proxy.
   */
  static final double FULL_LAG_MS = 250;

  private static final double WINDOW_MS = 1000;

  private final SlidingWindow latenessMs = new SlidingWindow(WINDOW_MS);

  /** Records that a tick that was due at {@code dueMs} has run at {@code nowMs}. */
  public void recordTick(double dueMs, double nowMs) {
    latenessMs.raiseTo(nowMs, Math.max(0, nowMs - dueMs));
  }

  /** Returns the maximum lateness of a tick within the last second, in milliseconds. */
  public double maxLatenessMs(double nowMs) {
    return latenessMs.max(nowMs);
  }

  /** Returns the maximum lateness divided by {@link #FULL_LAG_MS}; it may exceed 1. */
  public double utilization(double nowMs) {
    return maxLatenessMs(nowMs) / FULL_LAG_MS;
  }
}
