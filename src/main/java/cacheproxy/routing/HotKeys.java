package cacheproxy.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects hot keys by counting requests per key at this instance; all counts are halved at fixed
 * intervals.
 */
final class HotKeys {
  /**
   * Interval between halvings. A hot key must collect enough requests even at a proxy that serves
   * only a few requests per second.
   */
  private static final double HALVING_INTERVAL_MS = 4000;

  /** Keys with a lower count are not treated as hot, because so few requests may be chance. */
  static final int MIN_COUNT = 6;

  private final Map<Long, int[]> counts = new HashMap<>();
  private double total;
  private double lastHalvingMs;

  /** Returns the decayed count of all requests that have a key. */
  double total() {
    return total;
  }

  /** Counts a request and returns the decayed count of its key. */
  int count(long key, double now) {
    while (now - lastHalvingMs > HALVING_INTERVAL_MS) {
      lastHalvingMs = counts.isEmpty() ? now : lastHalvingMs + HALVING_INTERVAL_MS;
      total /= 2;
      counts.values().removeIf(count -> (count[0] /= 2) == 0);
    }
    total++;
    return ++counts.computeIfAbsent(key, unseen -> new int[1])[0];
  }
}
