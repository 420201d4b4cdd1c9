package cacheproxy.overload;

/**
 * Estimates from the event loop's iterations how long a request that is read now has waited: the
 * kernel does not tell when it arrived. A selection that returns at once returns what has arrived
 * since the one before; one that waited returns what ended the wait, and overslept by as long as
 * the whole process was paused meanwhile. Used by the event loop's thread only; allocates nothing.
 */
final class LoopIterations {
  /** A selection that took no longer has not waited for anything. */
  static final double IMMEDIATE_MS = 0.2;

  private boolean hasSelected;
  private double selectStartMs;
  private double wakeDueMs;
  private double selectedMs;

  /** What was selected last may have been ready for this long before. */
  private double readyMs;

  private double oversleptMs;

  /**
   * Records that the loop is about to select.
   *
   * @param wakeDueMs when it wakes by itself at the latest, on the same clock
   */
  void beforeSelect(double nowMs, double wakeDueMs) {
    selectStartMs = nowMs;
    this.wakeDueMs = wakeDueMs;
  }

  /** Records that the loop has selected, and processes the result from now on. */
  void afterSelect(double nowMs) {
    double previousMs = selectedMs;
    oversleptMs = Math.max(0, nowMs - Math.max(wakeDueMs, selectStartMs + IMMEDIATE_MS));
    boolean immediate = nowMs - selectStartMs <= IMMEDIATE_MS;
    if (hasSelected) {
      readyMs = immediate ? nowMs - previousMs : oversleptMs;
    }
    selectedMs = nowMs;
    hasSelected = true;
  }

  /** For how many milliseconds the loop has processed its last selection; 0 before the first. */
  double processingMs(double nowMs) {
    return hasSelected ? Math.max(0, nowMs - selectedMs) : 0;
  }

  /** By how many milliseconds the last selection exceeded the time at which it was due to end. */
  double oversleptMs() {
    return oversleptMs;
  }

  /** The mean time that a request that is read now has waited, in milliseconds. */
  double queueDelayMs(double nowMs) {
    return hasSelected ? readyMs / 2 + processingMs(nowMs) : 0;
  }
}
