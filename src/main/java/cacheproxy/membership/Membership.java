package cacheproxy.membership;

import cacheproxy.membership.Message.Header;
import cacheproxy.membership.Message.ViewSection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One proxy's membership protocol, which determines which proxies of the tier accept clients. It is
 * SWIM with Lifeguard's extensions and with refutation by observers: a member that has received a
 * message from a suspect since the accusation refutes the suspicion on the suspect's behalf.
 *
 * <p>Memory is bounded by the tier's size. One byte budget limits everything that is sent, whatever
 * is received. Times are milliseconds of a monotonic clock. The behavior is deterministic for a
 * given seed and sequence of calls. Not thread-safe.
 */
public final class Membership {
  private static final int MAX_TIER_SIZE = 0xFFFE;
  private static final int PROCESS_IDS = 0xFFFE;
  private static final EnumSet<MemberState> ALIVE = EnumSet.of(MemberState.ALIVE);
  private static final EnumSet<MemberState> ALIVE_OR_SUSPECT =
      EnumSet.of(MemberState.ALIVE, MemberState.SUSPECT);

  /**
   * Sends datagrams and receives state changes. The methods are called from within calls to {@link
   * Membership}.
   */
  public interface Callbacks {
    /** Sends a datagram to the member with this number. Delivery is not guaranteed. */
    void send(int member, byte[] datagram);

    /** Called after a member's state has changed in this proxy's view. */
    void stateChanged(StateChange change);
  }

  private final int tierSize;
  private final Set<Mechanism> enabled;
  private final LocalMember self;
  private final MemberTable members;
  private final SuspicionTable suspicionTable;
  private final SequenceTracker sequences;
  private final LocalHealth health;
  private final MessageSender sender;
  private final Suspicions suspicions;
  private final FailureDetector detector;
  private final ProbeRelay relay;
  private final SelfRefutation refutation;
  private final UpdateMerger merger;

  /**
   * Creates a member in the state {@link MemberState#STARTING}.
   *
   * @param tierSize the number of members of the tier, including this one
   * @param self this member's number, from 0
   * @param timing intervals and timeouts, which must be the same on all members of the tier
   * @param seed must differ between two starts of one member, because the process id that
   *     distinguishes their messages is derived from it
   * @param nowMs the present time
   * @param callbacks sends datagrams and receives state changes
   * @param disabled mechanisms to disable, for tests and models
   * @throws IllegalArgumentException if {@code self} is not a member number of this tier, or the
   *     tier is too large
   */
  public Membership(
      int tierSize,
      int self,
      Timing timing,
      long seed,
      double nowMs,
      Callbacks callbacks,
      Mechanism... disabled) {
    if (tierSize < 1 || tierSize > MAX_TIER_SIZE || self < 0 || self >= tierSize) {
      throw new IllegalArgumentException(
          "invalid member number " + self + " in a tier of " + tierSize);
    }
    this.tierSize = tierSize;
    enabled = EnumSet.allOf(Mechanism.class);
    enabled.removeAll(Arrays.asList(disabled));
    SplittableRandom random = new SplittableRandom(seed);
    int processId = 1 + random.nextInt(PROCESS_IDS);
    NonceSequence nonces = new NonceSequence(random.nextInt());
    ProtocolState state = ProtocolState.create(tierSize, self, timing, enabled, random, nowMs);
    this.self = state.self();
    members = state.members();
    suspicionTable = state.suspicions();
    health = state.health();
    sequences = new SequenceTracker(tierSize);
    Dissemination dissemination = new Dissemination(state);
    SendBudget budget = new SendBudget(timing.bytesPerSecond(), nowMs);
    sender = new MessageSender(state, processId, dissemination, budget, callbacks);
    suspicions = new Suspicions(state, dissemination, sender, callbacks);
    ProbeTargets targets = new ProbeTargets(state);
    detector = new FailureDetector(state, targets, sender, suspicions, nonces, nowMs);
    relay = new ProbeRelay(state, sender, nonces);
    refutation = new SelfRefutation(state, targets, sender);
    merger = new UpdateMerger(state, dissemination, suspicions, refutation, detector);
  }

  /**
   * Returns the latest time at which {@link #tick} has to be called next. It is infinite in a tier
   * of one member, which has no peers to probe.
   */
  public double nextTickMs() {
    return tierSize == 1
        ? Double.POSITIVE_INFINITY
        : Math.min(health.lastActivityMs() + Timing.MAX_TICK_MS, detector.nextProbeMs());
  }

  /** Announces that this member now accepts clients. Has no effect unless it is starting. */
  public void startServing(double nowMs) {
    checkForPause(nowMs);
    if (self.state() == MemberState.STARTING) {
      refutation.changeState(nowMs, MemberState.ALIVE);
    }
  }

  /** Announces that this member is shutting down gracefully and no other process takes it over. */
  public void startLeaving(double nowMs) {
    checkForPause(nowMs);
    if (self.state() != MemberState.LEAVING) {
      refutation.changeState(nowMs, MemberState.LEAVING);
    }
  }

  /**
   * Sets whether another process of this member runs at the same address, as during a takeover.
   * Each of the two processes then receives only some of the answers to its probes, so neither
   * accuses other members meanwhile.
   */
  public void setParallelProcess(double nowMs, boolean running) {
    health
        .setParallelProcess(nowMs, running)
        .ifPresent(spanMs -> suspicions.extendAll(spanMs, nowMs));
  }

  /** Sends the probes that are due, and ends probes and suspicions that have timed out. */
  public void tick(double nowMs) {
    checkForPause(nowMs);
    if (tierSize == 1) {
      return;
    }
    detector.checkTimeouts(nowMs);
    suspicions.expire(nowMs);
    detector.sendDueProbes(nowMs);
  }

  /**
   * Handles a datagram received from the address of member {@code from}. A datagram that cannot be
   * decoded is ignored.
   */
  public void receive(double nowMs, int from, byte[] datagram) {
    checkForPause(nowMs);
    if (from < 0 || from >= tierSize || from == self.number()) {
      return;
    }
    MessageCodec.decode(datagram).ifPresent(message -> receive(nowMs, from, message));
  }

  private void checkForPause(double nowMs) {
    OptionalDouble pausedMs = health.detectPause(nowMs);
    if (pausedMs.isPresent()) {
      suspicions.extendAll(pausedMs.getAsDouble(), nowMs);
      detector.restart(nowMs);
      relay.clear();
    }
  }

  private void receive(double nowMs, int from, Message message) {
    Header header = message.header();
    if (isFresh(nowMs, from, header)) {
      if (!health.isUnreliable()) {
        members.recordHeard(from, nowMs);
        health.recordHeard(nowMs);
      }
      merger.mergeOwnReport(nowMs, from, header.senderStatus());
    }
    if (header.receiverStatus().state() != MemberState.UNKNOWN) {
      refutation.onReportedStatus(
          nowMs, OptionalInt.of(from), header.receiverStatus(), header.senderUnreliable());
    }
    // If the sender's configuration has another tier size, its member numbers may refer to other
    // proxies.
    if (header.tierSize() == tierSize || !enabled.contains(Mechanism.TIER_SIZE_CHECK)) {
      mergeUpdates(nowMs, from, message);
    }
    reply(nowMs, from, header);
  }

  /**
   * Returns whether a message is newer than the previous one from its sender, and so proves that
   * the sender is running. An ACK of a pending probe always is.
   */
  private boolean isFresh(double nowMs, int from, Header header) {
    boolean answersProbe =
        header.type() == MessageType.ACK
            && (detector.onAck(nowMs, from, header.nonce())
                || relay.onAck(nowMs, from, header.nonce()));
    boolean newer = sequences.isNewer(from, header.processId(), header.sequenceNumber());
    return newer || answersProbe || !enabled.contains(Mechanism.PROCESS_IDS);
  }

  private void mergeUpdates(double nowMs, int from, Message message) {
    boolean senderUnreliable = message.header().senderUnreliable();
    for (MemberUpdate update : message.updates()) {
      merger.merge(nowMs, update, from, senderUnreliable);
    }
    ViewSection view = message.view();
    int member = view.firstMember();
    for (MemberStatus status : view.statuses()) {
      merger.merge(
          nowMs, new MemberUpdate(member++, status, OptionalInt.empty()), from, senderUnreliable);
    }
  }

  private void reply(double nowMs, int from, Header header) {
    switch (header.type()) {
      case PING -> sender.sendAck(nowMs, from, header.nonce());
      case PING_REQUEST ->
          header
              .target()
              .ifPresent(target -> relay.onPingRequest(nowMs, from, header.nonce(), target));
      case INDIRECT_ACK ->
          header.target().ifPresent(target -> detector.onIndirectAck(target, header.nonce()));
      case ACK, ANNOUNCEMENT -> {}
    }
  }

  /**
   * Returns the number of members that accept clients in this view, including suspects and this
   * member.
   */
  public int aliveCount() {
    int others = members.count(ALIVE_OR_SUSPECT);
    return others + (self.state() == MemberState.ALIVE ? 1 : 0);
  }

  /** Returns whether another member is present in this view, suspected or not. */
  public boolean isPresent(int member) {
    return member != self.number()
        && member >= 0
        && member < tierSize
        && members.state(member).isPresent();
  }

  /** Returns whether another member accepts clients in this view. */
  public boolean isAnotherAlive() {
    return members.count(ALIVE) > 0;
  }

  /** Returns whether this proxy's failure detector is unreliable, so that it suspects no member. */
  public boolean isUnreliable() {
    return health.isUnreliable();
  }

  /** Returns a member's state in this view. For this member, that is its own state. */
  public MemberState state(int member) {
    return member == self.number() ? self.state() : members.state(member);
  }

  /** Returns this member's own incarnation. */
  public int incarnation() {
    return self.incarnation();
  }

  /**
   * Returns the median of the latest round-trip times in ms, or empty if none has been measured.
   */
  public OptionalDouble medianRoundTripMs() {
    return detector.medianRoundTripMs();
  }

  /** Returns how often this proxy was the accuser when a suspicion was raised or confirmed. */
  public int suspicionsRaised() {
    return suspicions.raisedCount();
  }

  /** Returns the number of bytes sent since this process started. */
  public long sentBytes() {
    return sender.sentBytes();
  }

  /** Returns a snapshot of this view. */
  public MembershipView view(double nowMs) {
    List<MembershipView.Member> all = new ArrayList<>(tierSize);
    for (int member = 0; member < tierSize; member++) {
      all.add(view(nowMs, member));
    }
    return new MembershipView(
        self.number(),
        health.isUnreliable(),
        health.score(),
        medianRoundTripMs(),
        all,
        sender.sentMessages(),
        sender.sentBytes());
  }

  private MembershipView.Member view(double nowMs, int member) {
    boolean local = member == self.number();
    return new MembershipView.Member(
        state(member),
        local ? self.incarnation() : members.incarnation(member),
        members.stateAgeMs(member, nowMs),
        local ? OptionalDouble.of(0) : members.sinceHeardMs(member, nowMs),
        local || !members.isUnanswered(member),
        suspicionTable.accusers(member));
  }
}
