package cacheproxy.limits;

/**
 * Measures how far one peer has fallen behind its minimum rate, as a time deficit. While a transfer
 * is open the deficit grows with the time that passes; each transferred byte reduces it by the time
 * that the byte may take at the minimum rate, never below 0. A peer therefore earns no credit by a
 * burst, and the result does not depend on when or how often it is read. Used by the event loop's
 * thread only; allocates nothing.
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

  /** Begins a transfer at this time; has no effect while one is open. */
  public void begin(double nowMs) {
    if (!open) {
      open = true;
      deficitMs = 0;
      updatedMs = nowMs;
    }
  }

  /** Ends the transfer; the next one begins without a deficit. */
  public void end() {
    open = false;
    deficitMs = 0;
  }

  /** Records that the peer has transferred this many bytes. */
  public void transferred(double nowMs, long bytes) {
    if (open) {
      advanceTo(nowMs);
      deficitMs = Math.max(0, deficitMs - bytes * MS_PER_SECOND / minimum.bytesPerSecond());
    }
  }

  /** The deficit in milliseconds; 0 while no transfer is open. */
  public double deficitMs(double nowMs) {
    if (!open) {
      return 0;
    }
    advanceTo(nowMs);
    return deficitMs;
  }

  /**
   * Whether the deficit exceeds the grace.
   *
   * @param graceFactor the part of the grace that is granted, from 0 to 1
   */
  public boolean isTooSlow(double nowMs, double graceFactor) {
    return open && deficitMs(nowMs) > minimum.graceMs() * graceFactor;
  }

  private void advanceTo(double nowMs) {
    if (nowMs > updatedMs) { // a clock that goes back changes nothing
      deficitMs += nowMs - updatedMs;
      updatedMs = nowMs;
    }
  }
}
