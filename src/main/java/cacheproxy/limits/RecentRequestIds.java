package cacheproxy.limits;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of finished requests that must not be executed again, for a limited time and number. When
 * the number is exceeded, the oldest id is forgotten. Not thread-safe: used only on the event loop
 * thread.
 */
public final class RecentRequestIds {
  private final double retentionMs;
  private final int maxIds;

  /** The time until which each id is kept; ordered by that time, as all are kept equally long. */
  private final Map<String, Double> expiryMs = new LinkedHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param retentionMs how long an id is kept, in milliseconds, more than 0
   * @param maxIds the most ids that are kept, more than 0
   * @throws IllegalArgumentException if a parameter is not positive
   */
  public RecentRequestIds(double retentionMs, int maxIds) {
    if (!(retentionMs > 0) || maxIds <= 0) {
      throw new IllegalArgumentException(
          retentionMs + " ms and " + maxIds + " ids: both must be positive");
    }
    this.retentionMs = retentionMs;
    this.maxIds = maxIds;
  }

  /** Adds an id, or keeps it from now on for the complete time if it is present. */
  public void add(double nowMs, String id) {
    removeExpired(nowMs);
    expiryMs.remove(id);
    if (expiryMs.size() >= maxIds) {
      Iterator<String> oldest = expiryMs.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
    expiryMs.put(id, nowMs + retentionMs);
  }

  /** Returns whether the id was added within the retention time. */
  public boolean contains(double nowMs, String id) {
    Double expiry = expiryMs.get(id);
    return expiry != null && expiry > nowMs;
  }

  /** Returns the number of ids that are kept. */
  public int size() {
    return expiryMs.size();
  }

  private void removeExpired(double nowMs) {
    Iterator<Double> oldest = expiryMs.values().iterator();
    while (oldest.hasNext() && oldest.next() <= nowMs) {
      oldest.remove();
    }
  }
}
