package cacheproxy.limits;

import java.util.Collection;

/**
 * Selects the peer that is disconnected when memory is short. The candidates are the peers that are
 * behind their minimum rate; one that is owed a response is behind only once its grace is used up,
 * as a disconnect loses that response. The peer with the highest score is selected: reserved bytes
 * times deficit, divided by one more than its completed requests. Peers that keep up are never
 * selected, however much they have reserved. If all peers keep up, the caller rejects new requests
 * instead.
 */
public final class FairShare {
  /**
   * A peer with a deficit of at most this keeps up, because the event loop may not have served its
   * socket yet. The loop serves each socket many times within this period unless the machine itself
   * is paused.
   */
  static final double TOLERATED_DEFICIT_MS = 100;

  private FairShare() {}

  /** A peer that holds reserved bytes and may be disconnected. */
  public interface Holder {
    /** The byte account of the peer. */
    ByteAccount account();

    /** The peer's time deficit against its minimum rate in milliseconds, or 0 if it keeps up. */
    double deficitMs(double nowMs);
  }

  /**
   * Returns the peer to disconnect, or null if all peers keep up. Returns null instead of an
   * Optional because it may run for each request and must not allocate memory.
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
