package cacheproxy.limits;

/**
 * Measures how far a peer has fallen behind its minimum rate, as a time deficit. While a transfer
 * is open, the deficit grows with the elapsed time. Each transferred byte reduces it by the time
 * that the byte takes at the minimum rate, but never below 0. A burst therefore earns no credit for
 * later, unless a buffer makes it ({@link #accepted}), and the result does not depend on when or
 * how often the deficit is read. Not thread-safe: used only on the event loop thread. Does not
 * allocate memory.
 */
public final class MinimumRateMonitor {
  private static final double MS_PER_SECOND = 1000;

  /** A grace is extended by at most this many times itself, with what counts for later. */
  private static final double MAX_EXTENSION_FACTOR = 3;

  private final MinimumRate minimum;

  /** Below 0 if bytes count for later. */
  private double deficitMs;

  private double extensionMs;
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
      updatedMs = nowMs;
    }
  }

  /** Ends the open transfer and resets the deficit; what counts for later is kept. */
  public void end() {
    open = false;
    deficitMs = Math.min(0, deficitMs);
  }

  /**
   * Records that the peer has transferred {@code bytes} bytes; ignored while no transfer is open.
   */
  public void transferred(double nowMs, long bytes) {
    if (open) {
      advanceTo(nowMs);
      extensionMs = Math.max(0, extensionMs - Math.max(0, deficitMs - minimum.graceMs()));
      deficitMs = Math.max(Math.min(0, deficitMs), deficitMs - requiredMs(bytes));
    }
  }

  /**
   * Records that a buffer has accepted {@code bytes} bytes for the peer. As it accepts bytes in
   * large steps, however evenly the peer takes them, those beyond the deficit count for later.
   */
  public void accepted(double nowMs, long bytes) {
    if (open) {
      double surplusMs = requiredMs(bytes) - Math.max(0, deficitMs(nowMs));
      transferred(nowMs, bytes);
      if (surplusMs > 0) {
        deficitMs = Math.max(extensionMs - maxExtensionMs(), deficitMs - surplusMs);
      }
    }
  }

  /** Returns the deficit in milliseconds; 0 while no transfer is open. */
  public double deficitMs(double nowMs) {
    if (!open) {
      return 0;
    }
    advanceTo(nowMs);
    return Math.max(0, deficitMs);
  }

  /**
   * Extends the grace by the time that this many bytes take at the minimum rate, up to a multiple
   * of the grace. The extension lasts beyond the transfer, until it has been used up.
   */
  public void extendGrace(long bytes) {
    double keptMs = Math.max(0, -deficitMs);
    extensionMs = Math.min(maxExtensionMs() - keptMs, extensionMs + requiredMs(bytes));
  }

  private double maxExtensionMs() {
    return MAX_EXTENSION_FACTOR * minimum.graceMs();
  }

  /** The time that these bytes take at the minimum rate. */
  private double requiredMs(long bytes) {
    return bytes * MS_PER_SECOND / minimum.bytesPerSecond();
  }

  /** Returns by how many milliseconds the deficit exceeds the complete grace; 0 if it does not. */
  public double overdueMs(double nowMs) {
    return Math.max(0, deficitMs(nowMs) - minimum.graceMs() - extensionMs);
  }

  /**
   * Returns whether the deficit exceeds the granted grace.
   *
   * @param graceFactor the fraction of the grace that is granted, from 0 to 1
   */
  public boolean isTooSlow(double nowMs, double graceFactor) {
    return open && deficitMs(nowMs) > minimum.graceMs() * graceFactor + extensionMs;
  }

  private void advanceTo(double nowMs) {
    if (nowMs > updatedMs) { // ignore a clock that goes backwards
      deficitMs += nowMs - updatedMs;
      updatedMs = nowMs;
    }
  }
}
