package cacheproxy.proxy.admin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Names of cache nodes that have been on the endpoint list. The number of names is bounded; the
 * name that was listed least recently is evicted first. Thread-safe: the proxy's event loop adds
 * names, the operator server's event loop reads them.
 */
public final class KnownNodeNames {
  /**
   * About ten times the largest planned number of cache nodes. A name takes about a hundred bytes.
   */
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

  /** Adds a name as the most recently listed one. */
  public synchronized void add(String name) {
    names.put(name, true);
  }

  /** Returns whether this name has been on the endpoint list and has not been evicted. */
  public synchronized boolean contains(String name) {
    return names.containsKey(name);
  }
}
