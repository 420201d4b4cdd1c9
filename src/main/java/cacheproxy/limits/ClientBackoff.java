package cacheproxy.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How long those who come again as soon as they are turned away have to wait, by address. An
 * address that is served more often than it is turned away never waits: behind a front, many
 * clients share one with a few bad ones. The table is bounded, and an address that is not heard of
 * for {@link #FORGET_MS} is as good as new.
 */
public final class ClientBackoff {
  static final int ADDRESSES = 1024;
  static final double WINDOW_MS = 4000;
  static final double FORGET_MS = 10_000;

  /** Turned away so often within the window without a wait: a slip or two is nobody's habit. */
  static final int FREE = 3;

  private static final double FIRST_MS = 50;

  /**
   * Longer would keep an error, which is owed within 3 s of connecting, from being in time (DAYS).
   */
  static final double MOST_MS = 800;

  private static final class Entry {
    final Rate away = new Rate(WINDOW_MS);
    final Rate served = new Rate(WINDOW_MS);
    double seenMs;
  }

  private final Map<Object, Entry> entries = new LinkedHashMap<>(64, 0.75f, true);

  /** Somebody at this address was turned away: an error, a flood, silence. */
  public void turnedAway(double nowMs, Object address) {
    entry(nowMs, address).away.add(nowMs, 1);
  }

  /** Somebody at this address, which was turned away before, was served. */
  public void served(double nowMs, Object address) {
    Entry e = entries.get(address);
    if (e != null) { // who was never turned away needs no entry
      e.seenMs = nowMs;
      e.served.add(nowMs, 1);
    }
  }

  /** How long a connection that comes from there now is left unread, in milliseconds; mostly 0. */
  public double waitMs(double nowMs, Object address) {
    Entry e = entries.get(address);
    if (e == null || nowMs - e.seenMs > FORGET_MS) {
      entries.remove(address);
      return 0;
    }
    double away = e.away.sum(nowMs);
    if (away <= FREE || away <= e.served.sum(nowMs)) {
      return 0;
    }
    return Math.min(MOST_MS, FIRST_MS * Math.pow(2, Math.min(10, away - FREE - 1)));
  }

  public int size() {
    return entries.size();
  }

  private Entry entry(double nowMs, Object address) {
    Entry e = entries.get(address);
    if (e == null) {
      if (entries.size() >= ADDRESSES) {
        entries.remove(entries.keySet().iterator().next()); // heard of longest ago
      }
      e = new Entry();
      entries.put(address, e);
    }
    e.seenMs = nowMs;
    return e;
  }
}
