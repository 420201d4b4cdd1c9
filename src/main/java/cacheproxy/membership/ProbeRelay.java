package cacheproxy.membership;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Probes members on behalf of other members, as the helper in indirect probes. At most {@link
 * #MAX_RELAYED} relayed probes are pending; a further one evicts the oldest.
 */
final class ProbeRelay {
  private static final int MAX_RELAYED = 16;

  private final LocalMember self;
  private final MemberTable members;
  private final LocalHealth health;
  private final MessageSender sender;
  private final NonceSequence nonces;
  private final ArrayDeque<RelayedProbe> relayed = new ArrayDeque<>();

  /** A pending probe, and the member to notify of its ACK. */
  private record RelayedProbe(int nonce, int target, int requester, int requesterNonce) {}

  ProbeRelay(ProtocolState state, MessageSender sender, NonceSequence nonces) {
    self = state.self();
    members = state.members();
    health = state.health();
    this.sender = sender;
    this.nonces = nonces;
  }

  /** Probes a target on behalf of a member that received no answer from it. */
  void onPingRequest(double nowMs, int requester, int requesterNonce, int target) {
    if (target >= members.size() || target == self.number() || health.isUnreliable()) {
      return;
    }
    if (relayed.size() == MAX_RELAYED) {
      relayed.poll();
    }
    RelayedProbe probe = new RelayedProbe(nonces.next(), target, requester, requesterNonce);
    relayed.add(probe);
    sender.sendRelayedPing(nowMs, target, probe.nonce);
  }

  /**
   * Notifies the requester if this ACK answers a relayed probe.
   *
   * @return whether the ACK answers a relayed probe
   */
  boolean onAck(double nowMs, int from, int nonce) {
    for (Iterator<RelayedProbe> each = relayed.iterator(); each.hasNext(); ) {
      RelayedProbe probe = each.next();
      if (probe.nonce == nonce && probe.target == from) {
        each.remove();
        sender.sendIndirectAck(nowMs, probe.requester, probe.requesterNonce, from);
        return true;
      }
    }
    return false;
  }

  /** Discards all pending relayed probes. */
  void clear() {
    relayed.clear();
  }
}
