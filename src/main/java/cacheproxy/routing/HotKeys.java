package cacheproxy.routing;

import java.util.HashMap;
import java.util.Map;

/** Local counts of keys, halved every span, to tell a key hotter than a server's fair part. */
final class HotKeys {
  /** Halving span: long enough for a hot key to show at a proxy with a few requests a second. */
  static final double SPAN_MS = 4000;

  /** Fewer sightings than this in two spans are chance. */
  static final int MIN_COUNT = 6;

  private final Map<Long, int[]> counts = new HashMap<>();
  private double total;
  private double halvedAt;

  /** Sightings of all keys, fading. */
  double total() {
    return total;
  }

  int seen(long key, double now) {
    while (now - halvedAt > SPAN_MS) {
      halvedAt = counts.isEmpty() ? now : halvedAt + SPAN_MS;
      total /= 2;
      counts.values().removeIf(c -> (c[0] /= 2) == 0);
    }
    total++;
    return ++counts.computeIfAbsent(key, k -> new int[1])[0];
  }
}
