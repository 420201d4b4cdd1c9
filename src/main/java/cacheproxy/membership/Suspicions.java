package cacheproxy.membership;

import java.util.EnumSet;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/**
 * Changes members' statuses in this proxy's view: raises and confirms suspicions, declares members
 * dead when a suspicion times out, and reports each change of state.
 */
final class Suspicions {
  private static final EnumSet<MemberState> POSSIBLE_ACCUSERS =
      EnumSet.of(MemberState.ALIVE, MemberState.STARTING, MemberState.SUSPECT);

  private final Timing timing;
  private final LocalMember self;
  private final MemberTable members;
  private final SuspicionTable table;
  private final LocalHealth health;
  private final Dissemination dissemination;
  private final MessageSender sender;
  private final Membership.Callbacks callbacks;
  private final boolean confirmationsCount;
  private int raisedCount;

  Suspicions(
      ProtocolState state,
      Dissemination dissemination,
      MessageSender sender,
      Membership.Callbacks callbacks) {
    timing = state.timing();
    self = state.self();
    members = state.members();
    table = state.suspicions();
    health = state.health();
    confirmationsCount = state.isEnabled(Mechanism.CONFIRMATIONS);
    this.dissemination = dissemination;
    this.sender = sender;
    this.callbacks = callbacks;
  }

  /** Sets a member's status and reports a change of its state. */
  void changeStatus(double nowMs, int member, MemberStatus status, String cause) {
    MemberState before = members.state(member);
    boolean ownSuspicionWasWrong =
        before == MemberState.SUSPECT
            && status.state() != MemberState.DEAD
            && table.isFirstAccuser(member, self.number());
    members.setStatus(member, status, nowMs);
    if (ownSuspicionWasWrong) {
      health.degrade();
    }
    if (before != status.state()) {
      callbacks.stateChanged(
          new StateChange(nowMs, member, before, status.state(), status.incarnation(), cause));
    }
  }

  /** Sets a member's status, reports a change of its state and disseminates it. */
  void changeAndDisseminate(double nowMs, int member, MemberStatus status, String cause) {
    changeStatus(nowMs, member, status, cause);
    dissemination.enqueue(member);
  }

  /** Suspects a member after this proxy's own probe of it failed. */
  void suspectByOwnProbe(double nowMs, int member) {
    suspect(
        nowMs,
        member,
        members.incarnation(member),
        OptionalInt.of(self.number()),
        "no answer from it, nor through others");
  }

  /**
   * Suspects a member at one of its incarnations, or adds an accuser to the existing suspicion. If
   * this proxy is the accuser, it notifies the member at once, so that the member can refute the
   * suspicion.
   *
   * @param accuser the member whose probe failed, or empty if it is unknown
   */
  void suspect(double nowMs, int member, int incarnation, OptionalInt accuser, String cause) {
    if (members.state(member) != MemberState.SUSPECT
        || members.incarnation(member) != incarnation) {
      changeStatus(nowMs, member, new MemberStatus(MemberState.SUSPECT, incarnation), cause);
    }
    if (accuser.isEmpty()) {
      return;
    }
    confirm(member, accuser.getAsInt());
    if (accuser.getAsInt() == self.number()) {
      raisedCount++;
      sender.sendAnnouncement(nowMs, member);
    }
  }

  /**
   * Adds an accuser to a suspicion, and disseminates the suspicion again if the accuser is new and
   * counts as a confirmation.
   */
  void confirm(int member, int accuser) {
    if (table.addAccuser(member, accuser)) {
      dissemination.enqueue(member);
    }
  }

  /**
   * Declares suspects dead if their time to refute is over, and leaving members gone if their time
   * to shut down is over.
   */
  void expire(double nowMs) {
    if (!members.hasTimedStates()) {
      return;
    }
    int possibleAccusers = 1 + members.count(POSSIBLE_ACCUSERS);
    for (int member = 0; member < members.size(); member++) {
      MemberState state = members.state(member);
      if (state == MemberState.LEAVING && members.stateAgeMs(member, nowMs) >= Timing.LEAVE_MS) {
        MemberStatus gone = new MemberStatus(MemberState.GONE, members.incarnation(member));
        changeStatus(nowMs, member, gone, "left as it said");
      } else if (state == MemberState.SUSPECT && health.mayAccuse()) {
        expireSuspicion(nowMs, member, possibleAccusers);
      }
    }
  }

  private void expireSuspicion(double nowMs, int member, int possibleAccusers) {
    // In a small tier, fewer members than the maximum can confirm: all but the suspect and the
    // first accuser.
    int maxConfirmations =
        confirmationsCount ? Math.min(SuspicionTable.MAX_CONFIRMATIONS, possibleAccusers - 2) : 0;
    int confirmations = Math.max(0, table.accuserCount(member) - 1);
    double timeoutMs =
        timing.suspicionMs(members.size(), confirmations, maxConfirmations)
            * health.slowdownFactor();
    double ageMs = table.ageMs(member, nowMs);
    if (ageMs >= timeoutMs) {
      String accusers =
          table.accusers(member).stream()
              .map(accuser -> " " + accuser)
              .collect(Collectors.joining());
      changeAndDisseminate(
          nowMs,
          member,
          new MemberStatus(MemberState.DEAD, members.incarnation(member)),
          "not refuted in " + Math.round(ageMs) + " ms, accused by" + accusers);
    }
  }

  /**
   * Extends the time of all suspects to refute, after a period in which this proxy could not
   * reliably receive refutations.
   */
  void extendAll(double extensionMs, double nowMs) {
    table.extendAll(extensionMs, nowMs);
  }

  /** Returns how often this proxy was the accuser when a suspicion was raised or confirmed. */
  int raisedCount() {
    return raisedCount;
  }
}
