package cacheproxy.overload;

/**
 * Estimates how long a request that is read now has waited, since the kernel does not report when
 * it arrived. If select returned immediately, its events arrived at any time since the previous
 * select returned. If select blocked, the events that it returns ended the wait, unless the process
 * was paused meanwhile: then select returned later than its timeout, and the events arrived at any
 * time during that delay. Not thread-safe: used only on the event loop thread. Does not allocate
 * memory.
 */
final class LoopIterations {
  /** A call of select that took at most this long is assumed to have returned without blocking. */
  static final double MAX_IMMEDIATE_SELECT_MS = 0.2;

  private boolean hasSelected;
  private double selectStartMs;
  private double wakeDueMs;
  private double selectReturnedMs;

  /**
   * The longest time for which the events of the last select may have been ready before it
   * returned.
   */
  private double maxReadyMs;

  private double wakeUpDelayMs;

  /**
   * Records that the event loop is about to call select.
   *
   * @param wakeDueMs the time at which select returns at the latest, because a timer is due; on the
   *     same clock as {@code nowMs}
   */
  void beforeSelect(double nowMs, double wakeDueMs) {
    selectStartMs = nowMs;
    this.wakeDueMs = wakeDueMs;
  }

  /** Records that select has returned and that the event loop begins to process its result. */
  void afterSelect(double nowMs) {
    double previousMs = selectReturnedMs;
    wakeUpDelayMs =
        Math.max(0, nowMs - Math.max(wakeDueMs, selectStartMs + MAX_IMMEDIATE_SELECT_MS));
    boolean immediate = nowMs - selectStartMs <= MAX_IMMEDIATE_SELECT_MS;
    if (hasSelected) {
      maxReadyMs = immediate ? nowMs - previousMs : wakeUpDelayMs;
    }
    selectReturnedMs = nowMs;
    hasSelected = true;
  }

  /**
   * Returns for how many milliseconds the event loop has been processing the result of the last
   * select; 0 before the first select.
   */
  double processingMs(double nowMs) {
    return hasSelected ? Math.max(0, nowMs - selectReturnedMs) : 0;
  }

  /** Returns by how many milliseconds the last select returned later than its timeout. */
  double wakeUpDelayMs() {
    return wakeUpDelayMs;
  }

  /**
   * Returns the estimated mean time that a request that is read now has waited, in milliseconds.
   */
  double queueDelayMs(double nowMs) {
    return hasSelected ? maxReadyMs / 2 + processingMs(nowMs) : 0;
  }
}
