package cacheproxy.limits;

import java.util.Collection;

/**
 * Whose room is taken when memory is short: of the peers that are behind their least rate the one
 * that holds the most for the longest against the least that it was served. Peers that keep up are
 * never chosen, however much they hold; where only these are left, new work is refused instead.
 */
public final class FairShare {
  private FairShare() {}

  /** A peer as this rule sees it. */
  public interface Holder {
    ByteAccount account();

    /** How far it is behind in taking or giving what is owed, in milliseconds; 0: it keeps up. */
    double behindMs(double nowMs);
  }

  /**
   * A peer that is no further behind than this keeps up: it may just not have had its turn. The
   * loop comes to each socket many times within it, unless the machine itself stands still.
   */
  static final double KEEPS_UP_MS = 100;

  /** The peer to give way; null: nobody but such as keep up. */
  public static <H extends Holder> H next(double nowMs, Collection<H> holders) {
    H next = null;
    double worst = 0;
    for (H h : holders) {
      double behind = h.behindMs(nowMs);
      if (behind > KEEPS_UP_MS) {
        double weight = h.account().held() * behind / (1 + h.account().served());
        if (weight > worst) {
          worst = weight;
          next = h;
        }
      }
    }
    return next;
  }
}
