package cacheproxy.site;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Keys stored by a server, with eviction of the least recently used, and the idempotency keys that
 * it has seen within a window.
 */
public final class ValueStore {
  private final int capacity;
  private final double windowMs;
  private final LinkedHashSet<String> keys = new LinkedHashSet<>();
  private final Map<String, Double> idempotencyKeys = new LinkedHashMap<>();

  /**
   * Creates an empty store.
   *
   * @param capacity maximum number of stored keys
   * @param windowMs time in which a repeat of an idempotency key is recognised
   */
  public ValueStore(int capacity, double windowMs) {
    this.capacity = capacity;
    this.windowMs = windowMs;
  }

  /** Returns whether the key is stored, and if so marks it as the most recently used. */
  public boolean touch(String key) {
    return keys.remove(key) && keys.add(key);
  }

  public void put(String key) {
    keys.remove(key);
    keys.add(key);
    for (Iterator<String> oldest = keys.iterator(); keys.size() > capacity; ) {
      oldest.next();
      oldest.remove();
    }
  }

  public void remove(String key) {
    keys.remove(key);
  }

  /**
   * Returns whether a write with this idempotency key takes effect: true for a null key or one that
   * was not seen within the window, which it then records; false for a repeat.
   */
  public boolean recordIfNew(double nowMs, String idempotencyKey) {
    idempotencyKeys.values().removeIf(at -> nowMs - at > windowMs);
    return idempotencyKey == null || idempotencyKeys.putIfAbsent(idempotencyKey, nowMs) == null;
  }

  public void clear() {
    keys.clear();
    idempotencyKeys.clear();
  }

  public int size() {
    return keys.size();
  }

  /**
   * Requests that missed at cache nodes, with the stores in which the value is to be saved once the
   * origin has answered. The number of requests is limited; the oldest are dropped first.
   */
  static final class PendingFills {
    private static final int MAX_REQUESTS = 100_000;
    private final Map<String, Set<ValueStore>> storesByRequest = new LinkedHashMap<>();

    void recordMiss(String id, ValueStore store) {
      storesByRequest.computeIfAbsent(id, i -> new LinkedHashSet<>()).add(store);
      if (storesByRequest.size() > MAX_REQUESTS) {
        Iterator<String> oldest = storesByRequest.keySet().iterator();
        oldest.next();
        oldest.remove();
      }
    }

    void fill(String id, String key) {
      Set<ValueStore> stores = storesByRequest.remove(id);
      if (stores != null) {
        stores.forEach(s -> s.put(key));
      }
    }
  }
}
