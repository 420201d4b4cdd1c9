package cacheproxy.shared;

/**
 * Selects the proxies that hold the slow-start quota of a node: the {@link #MAX_HOLDERS} proxies
 * with the lowest hash of node and proxy number (rendezvous hashing). All proxies of a tier select
 * the same holders without communication. Stateless.
 */
final class LeaseHolders {
  /** Limits the holders so that the part of each one suffices for at least one complete request. */
  static final int MAX_HOLDERS = 8;

  private LeaseHolders() {}

  /** The number of lease holders of a node in a tier of this size. */
  static int count(int proxies) {
    return Math.min(proxies, MAX_HOLDERS);
  }

  /** Whether this proxy is a lease holder of the node. */
  static boolean contains(int node, int proxy, int proxies) {
    long own = hash(node, proxy);
    int lower = 0;
    for (int other = 0; other < proxies; other++) {
      long theirs = hash(node, other);
      lower += theirs < own || theirs == own && other < proxy ? 1 : 0;
    }
    return lower < MAX_HOLDERS;
  }

  private static long hash(int node, int proxy) {
    long hash = (node * 0x9E3779B97F4A7C15L ^ proxy * 0xC2B2AE3D27D4EB4FL) * 0xFF51AFD7ED558CCDL;
    return (hash ^ hash >>> 29) & Long.MAX_VALUE;
  }
}
