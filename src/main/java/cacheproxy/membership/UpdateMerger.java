package cacheproxy.membership;

import java.util.OptionalInt;

/**
 * Merges the statuses in received messages into this proxy's view. A suspicion is refuted by a
 * newer incarnation of the suspect. Unlike in SWIM, an observer that has received a message from
 * the suspect since the accusation can also refute it.
 */
final class UpdateMerger {
  private final Timing timing;
  private final LocalMember self;
  private final MemberTable members;
  private final LocalHealth health;
  private final Dissemination dissemination;
  private final Suspicions suspicions;
  private final SelfRefutation refutation;
  private final FailureDetector detector;
  private final boolean observersRefute;

  UpdateMerger(
      ProtocolState state,
      Dissemination dissemination,
      Suspicions suspicions,
      SelfRefutation refutation,
      FailureDetector detector) {
    timing = state.timing();
    self = state.self();
    members = state.members();
    health = state.health();
    this.dissemination = dissemination;
    this.suspicions = suspicions;
    this.refutation = refutation;
    this.detector = detector;
    observersRefute = state.isEnabled(Mechanism.OBSERVER_REFUTATION);
  }

  /** Merges the status that a member reports about itself. The message must not be outdated. */
  void mergeOwnReport(double nowMs, int member, MemberStatus reported) {
    MemberState state = reported.state();
    if (state != MemberState.STARTING
        && state != MemberState.ALIVE
        && state != MemberState.LEAVING) {
      return; // a member does not report this state about itself
    }
    MemberStatus held = members.status(member);
    if (Incarnation.isNewer(reported.incarnation(), held.incarnation())
        || held.state() == MemberState.UNKNOWN) {
      suspicions.changeAndDisseminate(nowMs, member, reported, "says so");
    } else if (held.state() == state
        || held.state() == MemberState.ALIVE && state == MemberState.STARTING) {
      return;
    } else if (held.state() == MemberState.STARTING || state == MemberState.LEAVING) {
      MemberStatus status = new MemberStatus(state, held.incarnation());
      suspicions.changeAndDisseminate(nowMs, member, status, "says so");
    } else if (mayRefuteForOthers()) {
      MemberStatus status = new MemberStatus(state, Incarnation.next(held.incarnation()));
      String cause = held.state().isAccusation() ? "heard since" : "is back";
      suspicions.changeAndDisseminate(nowMs, member, status, cause);
    }
  }

  private boolean mayRefuteForOthers() {
    return observersRefute && !health.isUnreliable();
  }

  /**
   * Merges a status that another member reports in an update or a view section.
   *
   * @param update the reported status and, for suspicions, the accuser
   * @param sender the member that sent the message
   * @param senderUnreliable whether the sender's failure detector is unreliable
   */
  void merge(double nowMs, MemberUpdate update, int sender, boolean senderUnreliable) {
    int member = update.member();
    MemberStatus status = update.status();
    if (member >= members.size() || status.state() == MemberState.UNKNOWN) {
      return;
    }
    if (member == self.number()) {
      refutation.onReportedStatus(nowMs, OptionalInt.empty(), status, senderUnreliable);
      return;
    }
    // The sender's current status is in the header. An entry about the sender itself may date
    // from before an absence of the sender.
    if (member == sender || status.state().isAccusation() && senderUnreliable) {
      return;
    }
    if (isConfirmation(member, status)) {
      confirm(update, sender);
    } else if (supersedesHeldStatus(member, status)) {
      apply(nowMs, update, sender);
    }
  }

  private boolean isConfirmation(int member, MemberStatus status) {
    return status.state().isAccusation()
        && members.state(member) == MemberState.SUSPECT
        && members.incarnation(member) == status.incarnation();
  }

  private void confirm(MemberUpdate update, int sender) {
    OptionalInt accuser =
        update.accuser().isPresent()
            ? update.accuser()
            : senderOfDeathVerdict(update.status(), sender);
    if (accuser.isPresent() && accuser.getAsInt() != update.member()) {
      suspicions.confirm(update.member(), accuser.getAsInt());
    }
  }

  /** Returns the sender if it reports the member as dead, which counts as its own accusation. */
  private static OptionalInt senderOfDeathVerdict(MemberStatus status, int sender) {
    return status.state() == MemberState.DEAD ? OptionalInt.of(sender) : OptionalInt.empty();
  }

  private boolean supersedesHeldStatus(int member, MemberStatus status) {
    MemberStatus held = members.status(member);
    if (held.state() == MemberState.UNKNOWN) {
      return true;
    }
    boolean suspicionOfAbsent =
        status.state() == MemberState.SUSPECT
            && held.state().isAbsent()
            && status.incarnation() == held.incarnation();
    return status.overrides(held) && !suspicionOfAbsent;
  }

  private void apply(double nowMs, MemberUpdate update, int sender) {
    int member = update.member();
    MemberState reported = update.status().state();
    MemberState held = members.state(member);
    boolean adoptedAsReported =
        !reported.isAccusation()
            || held == MemberState.UNKNOWN && reported == MemberState.DEAD
            || held.isAbsent();
    if (adoptedAsReported) {
      suspicions.changeAndDisseminate(nowMs, member, update.status(), "told by " + sender);
    } else if (mayRefuteForOthers()
        && members.isHeardWithin(member, timing.probeTimeoutMs(), nowMs)) {
      refuteAsObserver(nowMs, member, update.status().incarnation());
    } else {
      suspectAsReported(nowMs, update, sender);
    }
  }

  private void refuteAsObserver(double nowMs, int member, int incarnation) {
    long heardMsAgo = Math.round(members.sinceHeardMs(member, nowMs).orElseThrow());
    suspicions.changeAndDisseminate(
        nowMs,
        member,
        new MemberStatus(MemberState.ALIVE, Incarnation.next(incarnation)),
        "heard " + heardMsAgo + " ms before");
  }

  private void suspectAsReported(double nowMs, MemberUpdate update, int sender) {
    int member = update.member();
    boolean accusesItself = update.accuser().isPresent() && update.accuser().getAsInt() == member;
    OptionalInt accuser =
        update.accuser().isPresent() && !accusesItself
            ? update.accuser()
            : senderOfDeathVerdict(update.status(), sender);
    suspicions.suspect(nowMs, member, update.status().incarnation(), accuser, "told by " + sender);
    dissemination.enqueue(member);
    if (observersRefute && members.isHeardWithin(member, Timing.RECENTLY_HEARD_MS, nowMs)) {
      detector.probe(nowMs, member);
    }
  }
}
