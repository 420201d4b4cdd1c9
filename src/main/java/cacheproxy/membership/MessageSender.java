package cacheproxy.membership;

import cacheproxy.membership.Message.Header;
import java.util.List;
import java.util.OptionalInt;

/**
 * Builds messages and sends them within the byte budget. A message that exceeds the budget is
 * dropped; the protocol tolerates that like a lost datagram.
 */
final class MessageSender {
  /** Fraction of the budget that only this proxy's own probes may use. */
  private static final double RESERVED_FOR_PROBES = 0.3;

  /** If less than this fraction of the budget is available, messages contain no view section. */
  private static final double VIEW_THRESHOLD = 0.5;

  /** Budget that must be available for a message without a view section. */
  private static final int COMPACT_BYTES = 64;

  private static final int COMPACT_UPDATES = MessageCodec.MAX_UPDATES / 2;

  /** Nonce of messages that neither request nor contain an answer. */
  private static final int NO_NONCE = 0;

  /** Whether a message contains a section of the view. */
  private enum Size {
    /** Updates and, if the budget allows, a section of the view. */
    FULL(MessageCodec.MAX_BYTES),
    /** A few updates only. */
    COMPACT(COMPACT_BYTES);

    private final int requiredBytes;

    Size(int requiredBytes) {
      this.requiredBytes = requiredBytes;
    }
  }

  private final LocalMember self;
  private final int processId;
  private final MemberTable members;
  private final LocalHealth health;
  private final Dissemination dissemination;
  private final SendBudget budget;
  private final Membership.Callbacks callbacks;
  private int sequenceNumber;
  private long sentMessages;
  private long sentBytes;

  MessageSender(
      ProtocolState state,
      int processId,
      Dissemination dissemination,
      SendBudget budget,
      Membership.Callbacks callbacks) {
    self = state.self();
    members = state.members();
    health = state.health();
    this.processId = processId;
    this.dissemination = dissemination;
    this.budget = budget;
    this.callbacks = callbacks;
  }

  /** Sends a probe of this proxy's own failure detector. */
  void sendPing(double nowMs, int to, int nonce) {
    send(nowMs, to, MessageType.PING, nonce, OptionalInt.empty(), 0, Size.FULL);
  }

  /** Repeats an unanswered probe of this proxy's own failure detector, without a view section. */
  void resendPing(double nowMs, int to, int nonce) {
    send(nowMs, to, MessageType.PING, nonce, OptionalInt.empty(), 0, Size.COMPACT);
  }

  /** Sends a probe on behalf of another member. */
  void sendRelayedPing(double nowMs, int to, int nonce) {
    sendCompact(nowMs, to, MessageType.PING, nonce, OptionalInt.empty());
  }

  void sendAck(double nowMs, int to, int nonce) {
    send(nowMs, to, MessageType.ACK, nonce, OptionalInt.empty(), RESERVED_FOR_PROBES, Size.FULL);
  }

  /** Asks a helper to probe the target. */
  void sendPingRequest(double nowMs, int helper, int nonce, int target) {
    sendCompact(nowMs, helper, MessageType.PING_REQUEST, nonce, OptionalInt.of(target));
  }

  /** Notifies the member that requested an indirect probe that the target has answered. */
  void sendIndirectAck(double nowMs, int to, int nonce, int target) {
    sendCompact(nowMs, to, MessageType.INDIRECT_ACK, nonce, OptionalInt.of(target));
  }

  /**
   * Sends the latest updates. Like every message, it also contains the receiver's status in this
   * proxy's view, so it notifies a suspect of its suspicion.
   */
  void sendAnnouncement(double nowMs, int to) {
    sendCompact(nowMs, to, MessageType.ANNOUNCEMENT, NO_NONCE, OptionalInt.empty());
  }

  private void sendCompact(double nowMs, int to, MessageType type, int nonce, OptionalInt target) {
    send(nowMs, to, type, nonce, target, RESERVED_FOR_PROBES, Size.COMPACT);
  }

  private void send(
      double nowMs,
      int to,
      MessageType type,
      int nonce,
      OptionalInt target,
      double reservedFraction,
      Size size) {
    budget.refill(nowMs);
    if (!budget.allows(size.requiredBytes, reservedFraction)) {
      return;
    }
    int tierSize = members.size();
    List<MemberUpdate> updates =
        dissemination.takeUpdates(
            size == Size.COMPACT ? COMPACT_UPDATES : MessageCodec.maxUpdates(tierSize));
    boolean withView = size == Size.FULL && !budget.isBelow(VIEW_THRESHOLD);
    int maxStatuses = withView ? MessageCodec.maxStatuses(updates.size()) : 0;
    Header header =
        new Header(
            type,
            processId,
            ++sequenceNumber,
            self.status(),
            members.status(to),
            health.isUnreliable(),
            nonce,
            target,
            tierSize);
    byte[] bytes =
        MessageCodec.encode(new Message(header, updates, dissemination.nextSection(maxStatuses)));
    budget.spend(bytes.length);
    sentMessages++;
    sentBytes += bytes.length;
    callbacks.send(to, bytes);
  }

  long sentMessages() {
    return sentMessages;
  }

  long sentBytes() {
    return sentBytes;
  }
}
