package cacheproxy.overload;

/**
 * The event loop's rounds, and what they tell of a request that is read now: the kernel doesn't say
 * since when it has had it. A selection that did not have to wait gives what has come since the one
 * before; one that waited gives what ended the wait, and overslept by as long as the whole process
 * stood still meanwhile.
 */
public final class LoopIterations {
  /** A selection that took no longer has not waited for anything. */
  static final double AT_ONCE_MS = 0.2;

  private double enteredMs = Double.NaN;
  private double dueMs;
  private double selectedMs = Double.NaN;

  /** What was selected last may have been ready for as long before that. */
  private double readyMs;

  private double oversleptMs;

  /**
   * The loop is about to select.
   *
   * @param dueMs when it wakes by itself at the latest, on the same clock
   */
  public void entering(double nowMs, double dueMs) {
    enteredMs = nowMs;
    this.dueMs = dueMs;
  }

  /** It has selected, and works on what it was given from now on. */
  public void selected(double nowMs) {
    double before = selectedMs;
    selectedMs = nowMs;
    oversleptMs = Math.max(0, nowMs - Math.max(dueMs, enteredMs + AT_ONCE_MS));
    boolean atOnce = nowMs - enteredMs <= AT_ONCE_MS;
    readyMs = Double.isNaN(before) ? 0 : atOnce ? nowMs - before : oversleptMs;
  }

  /**
   * Since when the loop has worked on what it selected, in milliseconds; 0 before its first round.
   */
  public double workedMs(double nowMs) {
    return Double.isNaN(selectedMs) ? 0 : Math.max(0, nowMs - selectedMs);
  }

  /**
   * By how much the last selection went past the time at which it should have ended, in
   * milliseconds.
   */
  public double oversleptMs() {
    return oversleptMs;
  }

  /** How long a request that is read now has waited for that, on the mean, in milliseconds. */
  public double waitedMs(double nowMs) {
    return Double.isNaN(selectedMs) ? 0 : readyMs / 2 + workedMs(nowMs);
  }
}
