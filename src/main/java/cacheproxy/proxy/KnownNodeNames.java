package cacheproxy.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The names that were ever on the list, up to a bound: the one that was listed least lately is
 * forgotten first. Added to on the event loop, looked into by the control's thread.
 */
final class KnownNodeNames {
  /** Some ten times the largest fleet that is planned for; a name takes some hundred bytes. */
  static final int MOST = 4096;

  private final Map<String, Boolean> names =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MOST;
        }
      };

  synchronized void add(String name) {
    names.put(name, true);
  }

  synchronized boolean contains(String name) {
    return names.containsKey(name);
  }
}
