package cacheproxy.limits;

/**
 * Measures how far a peer has fallen behind its minimum rate, as a time deficit. While a transfer
 * is open, the deficit grows with the elapsed time. Each transferred byte reduces it by the time
 * that the byte takes at the minimum rate, but never below 0. A burst therefore earns no credit for
 * later, and the result does not depend on when or how often the deficit is read. Not thread-safe:
 * used only on the event loop thread. Does not allocate memory.
 */
public final class MinimumRateMonitor {
  private static final double MS_PER_SECOND = 1000;

  private final MinimumRate minimum;
  private double deficitMs;
  private double updatedMs;
  private boolean open;

  /** Creates a monitor without an open transfer. */
  public MinimumRateMonitor(MinimumRate minimum) {
    this.minimum = minimum;
  }

  /** Begins a transfer; has no effect while a transfer is open. */
  public void begin(double nowMs) {
    if (!open) {
      open = true;
      deficitMs = 0;
      updatedMs = nowMs;
    }
  }

  /** Ends the open transfer and resets the deficit. */
  public void end() {
    open = false;
    deficitMs = 0;
  }

  /**
   * Records that the peer has transferred {@code bytes} bytes; ignored while no transfer is open.
   */
  public void transferred(double nowMs, long bytes) {
    if (open) {
      advanceTo(nowMs);
      deficitMs = Math.max(0, deficitMs - bytes * MS_PER_SECOND / minimum.bytesPerSecond());
    }
  }

  /** Returns the deficit in milliseconds; 0 while no transfer is open. */
  public double deficitMs(double nowMs) {
    if (!open) {
      return 0;
    }
    advanceTo(nowMs);
    return deficitMs;
  }

  /** Returns by how many milliseconds the deficit exceeds the complete grace; 0 if it does not. */
  public double overdueMs(double nowMs) {
    return Math.max(0, deficitMs(nowMs) - minimum.graceMs());
  }

  /**
   * Returns whether the deficit exceeds the granted grace.
   *
   * @param graceFactor the fraction of the grace that is granted, from 0 to 1
   */
  public boolean isTooSlow(double nowMs, double graceFactor) {
    return open && deficitMs(nowMs) > minimum.graceMs() * graceFactor;
  }

  private void advanceTo(double nowMs) {
    if (nowMs > updatedMs) { // ignore a clock that goes backwards
      deficitMs += nowMs - updatedMs;
      updatedMs = nowMs;
    }
  }
}
