package cacheproxy.site;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * What a node keeps: keys, the least lately used go first; and idempotency keys for their window.
 * Rules alone.
 */
public final class ValueStore {
  private final int most;
  private final double windowMs;
  private final LinkedHashSet<String> keys = new LinkedHashSet<>();
  private final Map<String, Double> repeats = new LinkedHashMap<>();

  /**
   * @param most keys that it has room for
   * @param windowMs how long it drops repeats of an idempotency key
   */
  public ValueStore(int most, double windowMs) {
    this.most = most;
    this.windowMs = windowMs;
  }

  /** Whether it has the key, which counts as a use. */
  public boolean has(String key) {
    return keys.remove(key) && keys.add(key);
  }

  public void put(String key) {
    keys.remove(key);
    keys.add(key);
    for (Iterator<String> oldest = keys.iterator(); keys.size() > most; ) {
      oldest.next();
      oldest.remove();
    }
  }

  public void drop(String key) {
    keys.remove(key);
  }

  /**
   * Whether a write with this idempotency key takes effect now; null: it has none. A repeat within
   * the window does not.
   */
  public boolean takes(double nowMs, String idempotency) {
    repeats.values().removeIf(at -> nowMs - at > windowMs);
    return idempotency == null || repeats.putIfAbsent(idempotency, nowMs) == null;
  }

  public void clear() {
    keys.clear();
    repeats.clear();
  }

  public int size() {
    return keys.size();
  }

  /**
   * Requests that missed, and where: their value is stored there once the origin has it. Bounded by
   * what is open.
   */
  static final class Missed {
    private static final int MOST = 100_000;
    private final Map<String, Set<ValueStore>> at = new LinkedHashMap<>();

    void missed(String id, ValueStore shelf) {
      at.computeIfAbsent(id, i -> new LinkedHashSet<>()).add(shelf);
      if (at.size() > MOST) {
        Iterator<String> oldest = at.keySet().iterator();
        oldest.next();
        oldest.remove();
      }
    }

    void fetched(String id, String key) {
      Set<ValueStore> shelves = at.remove(id);
      if (shelves != null) {
        shelves.forEach(s -> s.put(key));
      }
    }
  }
}
