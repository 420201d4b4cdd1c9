package cacheproxy.membership;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Probes members on behalf of others: the helper's part of an indirect probe. Keeps a bounded
 * number of relayed probes and forgets the oldest beyond it.
 */
final class ProbeRelay {
  private static final int MAX_RELAYED = 16;

  private final LocalMember self;
  private final MemberTable members;
  private final LocalHealth health;
  private final MessageSender sender;
  private final NonceSequence nonces;
  private final ArrayDeque<RelayedProbe> relayed = new ArrayDeque<>();

  /** A probe under way, and whom to notify of its ack. */
  private record RelayedProbe(int nonce, int target, int requester, int requesterNonce) {}

  ProbeRelay(ProtocolState state, MessageSender sender, NonceSequence nonces) {
    self = state.self();
    members = state.members();
    health = state.health();
    this.sender = sender;
    this.nonces = nonces;
  }

  /** Probes a target for a member that had no answer from it. */
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
   * Notifies the requester if this ack answers a relayed probe.
   *
   * @return whether it does
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

  /** Forgets all relayed probes. */
  void clear() {
    relayed.clear();
  }
}
