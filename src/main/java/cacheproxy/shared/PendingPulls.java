package cacheproxy.shared;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * This proxy's anti-entropy pulls that have no response yet, at most {@link #MAX_PENDING}. A
 * response is accepted only if it matches one of them within {@link #TIMEOUT_MS}, which bounds the
 * age of its content. All times are milliseconds of one clock. Not thread-safe.
 */
final class PendingPulls {
  static final int MAX_PENDING = 16;

  /** A response that takes longer is not accepted. */
  static final double TIMEOUT_MS = 1000;

  /** A push notification causes no pull if one was sent to its sender within this time. */
  private static final double RECENT_PULL_MS = 30;

  /** The least time between two full synchronizations, which read all evidence of a peer. */
  private static final double FULL_SYNC_INTERVAL_MS = 5000;

  /**
   * One pull.
   *
   * @param nonce copied into the response
   * @param responder the proxy that receives the pull
   * @param sentMs when the pull was sent
   * @param fullSync whether further pulls follow, page by page, until all evidence of the responder
   *     is read
   */
  record Pull(int nonce, int responder, double sentMs, boolean fullSync) {
    boolean isExpired(double now) {
      return now - sentMs > TIMEOUT_MS;
    }
  }

  private final List<Pull> pulls = new ArrayList<>();
  private int lastNonce;
  private double lastFullSyncMs = Double.NEGATIVE_INFINITY;

  /**
   * @param firstNonce random number drawn at the start, so that a response to an earlier
   *     incarnation of this proxy matches no pull
   */
  PendingPulls(int firstNonce) {
    lastNonce = firstNonce;
  }

  boolean isFull() {
    return pulls.size() >= MAX_PENDING;
  }

  /**
   * Adds a pull.
   *
   * @param continuation whether the pull requests the next page of a full synchronization
   */
  Pull add(double now, int responder, boolean continuation) {
    boolean fullSync = continuation || now - lastFullSyncMs > FULL_SYNC_INTERVAL_MS;
    Pull pull = new Pull(++lastNonce, responder, now, fullSync);
    pulls.add(pull);
    return pull;
  }

  /** Records that a full synchronization has requested a further page; the next one must wait. */
  void recordFullSync(double now) {
    lastFullSyncMs = now;
  }

  boolean hasRecentPullTo(double now, int responder) {
    return pulls.stream()
        .anyMatch(pull -> pull.responder == responder && now - pull.sentMs < RECENT_PULL_MS);
  }

  /** The pull that a response belongs to, even if it has expired. */
  Optional<Pull> find(int nonce, int responder) {
    return pulls.stream()
        .filter(pull -> pull.nonce == nonce && pull.responder == responder)
        .findFirst();
  }

  void remove(Pull pull) {
    pulls.remove(pull);
  }

  void expire(double now) {
    pulls.removeIf(pull -> pull.isExpired(now));
  }
}
