package cacheproxy.shared;

import cacheproxy.shared.VerdictEvidence.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * The evidence on one node: at most {@link #MAX_UNREACHABLE_OBSERVERS} pieces that report it
 * unreachable and one of each other kind. A piece of this proxy is never replaced by one of another
 * proxy. All times are milliseconds of one clock. Not thread-safe.
 */
final class NodeEvidence {
  static final int MAX_UNREACHABLE_OBSERVERS = 4;

  private static final int MAX_PIECES_PER_OTHER_KIND = 1;

  private final int me;
  private final boolean answerSupersedes;
  private final List<VerdictEvidence> pieces = new ArrayList<>(2);
  private int digest;

  /**
   * @param me this proxy's number
   * @param answerSupersedes whether an answer of the node removes older evidence that it is
   *     unreachable
   */
  NodeEvidence(int me, boolean answerSupersedes) {
    this.me = me;
    this.answerSupersedes = answerSupersedes;
  }

  /** All pieces in the order of arrival. The caller must not modify the list. */
  List<VerdictEvidence> pieces() {
    return pieces;
  }

  boolean isEmpty() {
    return pieces.isEmpty();
  }

  /** A digest that is equal at all proxies with the same evidence on the node; 0 if it is empty. */
  int digest() {
    return digest;
  }

  /** The time at which the first piece expires; infinite if there is none. */
  double nextExpiryMs() {
    double next = Double.POSITIVE_INFINITY;
    for (VerdictEvidence piece : pieces) {
      next = Math.min(next, piece.expiresMs());
    }
    return next;
  }

  /**
   * Whether a received piece adds nothing: a piece of the same observer and kind is at least as
   * new, or a later answer refutes it.
   */
  boolean makesObsolete(VerdictEvidence received) {
    for (VerdictEvidence held : pieces) {
      boolean atLeastAsNew = held.observedMs() >= received.observedMs();
      if (held.sameSubject(received) && (held.sequence() == received.sequence() || atLeastAsNew)) {
        return true;
      }
      if (answerSupersedes
          && held.kind() == Kind.RECOVERED
          && received.kind() == Kind.UNREACHABLE
          && atLeastAsNew) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds a piece and removes those that have expired or that it supersedes.
   *
   * @return false if it was not added because enough pieces of its kind are held
   */
  boolean add(double now, VerdictEvidence added) {
    pieces.removeIf(
        held -> (now >= held.expiresMs() || supersedes(added, held)) && removeFromDigest(held));
    long piecesOfKind = pieces.stream().filter(held -> held.kind() == added.kind()).count();
    if (piecesOfKind
            >= (added.kind() == Kind.UNREACHABLE
                ? MAX_UNREACHABLE_OBSERVERS
                : MAX_PIECES_PER_OTHER_KIND)
        && !replaceOldest(added)) {
      return false;
    }
    pieces.add(added);
    digest ^= added.fingerprint();
    return true;
  }

  private boolean supersedes(VerdictEvidence added, VerdictEvidence held) {
    if (held.sameSubject(added)) {
      return true;
    }
    if (!answerSupersedes) {
      return false;
    }
    boolean answerEndsFailure =
        added.kind() == Kind.RECOVERED
            && held.kind() == Kind.UNREACHABLE
            && held.observedMs() <= added.observedMs();
    boolean failureEndsAnswer =
        added.kind() == Kind.UNREACHABLE
            && held.kind() == Kind.RECOVERED
            && held.observedMs() < added.observedMs();
    return answerEndsFailure || failureEndsAnswer;
  }

  /**
   * Removes the oldest piece of the same kind from another proxy, so that the failure of a later
   * probe can be added. Keeps it if the added piece also comes from another proxy and is not newer.
   * Returns whether a piece was removed.
   */
  private boolean replaceOldest(VerdictEvidence added) {
    Optional<VerdictEvidence> oldest =
        pieces.stream()
            .filter(held -> held.kind() == added.kind() && held.observer() != me)
            .min(Comparator.comparingDouble(VerdictEvidence::observedMs));
    if (oldest.isEmpty()
        || oldest.get().observedMs() >= added.observedMs() && added.observer() != me) {
      return false;
    }
    pieces.remove(oldest.get());
    return removeFromDigest(oldest.get());
  }

  void expire(double now) {
    pieces.removeIf(held -> now >= held.expiresMs() && removeFromDigest(held));
  }

  /**
   * Updates the digest for a removed piece. Always returns true, so that it can be the last
   * condition of a removal.
   */
  private boolean removeFromDigest(VerdictEvidence removed) {
    digest ^= removed.fingerprint();
    return true;
  }
}
