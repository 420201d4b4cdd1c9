package cacheproxy.limits;

import java.util.Collection;

/**
 * Chooses which peer is disconnected when memory is short: of the peers that are behind their
 * minimum rate the one with the most reserved bytes times the longest deficit, divided by its
 * completed requests. Peers that keep up are never chosen, however much they have reserved; if only
 * these are left, new work is rejected instead.
 */
public final class FairShare {
  /**
   * A peer with a deficit of at most this keeps up: it may just not have had its turn. The loop
   * comes to each socket many times within it, unless the machine itself is paused.
   */
  static final double TOLERATED_DEFICIT_MS = 100;

  private FairShare() {}

  /** A peer that may be disconnected. */
  public interface Holder {
    /** The bytes reserved for the peer. */
    ByteAccount account();

    /** How far it is behind its minimum rate, in milliseconds; 0: it keeps up. */
    double deficitMs(double nowMs);
  }

  /**
   * Returns the peer to disconnect; null if all keep up (no Optional: it runs for each request).
   */
  public static <H extends Holder> H selectVictim(double nowMs, Collection<H> holders) {
    H victim = null;
    double highestScore = 0;
    for (H holder : holders) {
      double deficitMs = holder.deficitMs(nowMs);
      if (deficitMs <= TOLERATED_DEFICIT_MS) {
        continue;
      }
      ByteAccount account = holder.account();
      double score = account.totalReservedBytes() * deficitMs / (1 + account.completedRequests());
      if (score > highestScore) {
        highestScore = score;
        victim = holder;
      }
    }
    return victim;
  }
}
