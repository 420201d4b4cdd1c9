package cacheproxy.proxy.admin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of cache nodes that have been on the endpoint list, up to a bound; the least recently
 * listed is dropped first. Thread-safe: written on the proxy's event loop, read on the operator
 * server's.
 */
public final class KnownNodeNames {
  /** Some ten times the largest fleet that is planned for; a name takes some hundred bytes. */
  private static final int MAX_NAMES = 4096;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<String, Boolean> names =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_NAMES;
        }
      };

  /** Remembers a name as the most recently listed one. */
  public synchronized void add(String name) {
    names.put(name, true);
  }

  /** Returns whether the name is remembered. */
  public synchronized boolean contains(String name) {
    return names.containsKey(name);
  }
}
