package cacheproxy.limits;

/**
 * How far one peer has fallen behind its least rate, as a time: the time that has passed while
 * something was owed runs against it, and what it moves makes up for as long as that may take at
 * the least rate. Being early earns nothing, so whoever hurries just before it is looked at has
 * still to be as fast on the whole; and it does not matter when or how often it is looked at.
 */
public final class Pace {
  private final MinimumRate least;
  private double behindMs;
  private double atMs;
  private boolean owing;

  public Pace(MinimumRate least) {
    this.least = least;
  }

  /** From now on something is owed; where that was so before, nothing changes. */
  public void begin(double nowMs) {
    if (!owing) {
      owing = true;
      behindMs = 0;
      atMs = nowMs;
    }
  }

  /** Nothing is owed any more: what comes next begins anew. */
  public void end() {
    owing = false;
    behindMs = 0;
  }

  /** The peer has moved so many bytes of what is owed. */
  public void moved(double nowMs, long bytes) {
    if (owing) {
      pass(nowMs);
      behindMs = Math.max(0, behindMs - bytes * 1000 / least.bytesPerS());
    }
  }

  /** How far behind it is, in milliseconds; 0 where nothing is owed. */
  public double behindMs(double nowMs) {
    if (!owing) {
      return 0;
    }
    pass(nowMs);
    return behindMs;
  }

  /**
   * Whether it is to be cut off. {@code patience}: the part of the grace that it is given, from 0
   * to 1.
   */
  public boolean tooSlow(double nowMs, double patience) {
    return owing && behindMs(nowMs) > least.graceMs() * patience;
  }

  private void pass(double nowMs) {
    if (nowMs > atMs) { // a clock that goes back takes nothing off and adds nothing
      behindMs += nowMs - atMs;
      atMs = nowMs;
    }
  }
}
