package cacheproxy.membership;

import java.util.OptionalInt;

/**
 * Maintains this proxy's own status in the views of other members: announces its changes, and
 * refutes accusations and outdated states by taking a newer incarnation.
 */
final class SelfRefutation {
  /** Number of members to which a change of this proxy's status is announced at once. */
  private static final int ANNOUNCEMENTS = 3;

  private final LocalMember self;
  private final MemberTable members;
  private final LocalHealth health;
  private final ProbeTargets targets;
  private final MessageSender sender;

  /**
   * Whether another member has reported its status of this member, which may stem from an earlier
   * process.
   */
  private boolean heldIncarnationLearned;

  SelfRefutation(ProtocolState state, ProbeTargets targets, MessageSender sender) {
    self = state.self();
    members = state.members();
    health = state.health();
    this.targets = targets;
    this.sender = sender;
  }

  /** Changes this proxy's own state and announces it. */
  void changeState(double nowMs, MemberState state) {
    self.setState(state);
    announce(nowMs);
  }

  /**
   * Handles the status of this proxy in another member's view.
   *
   * @param answerTo the member to notify first of a refutation; empty if the report was an update
   *     or part of a view section and not in a header
   * @param held the reported status of this proxy
   * @param reporterUnreliable whether the reporter's failure detector is unreliable
   */
  void onReportedStatus(
      double nowMs, OptionalInt answerTo, MemberStatus held, boolean reporterUnreliable) {
    boolean outdated = Incarnation.isNewer(self.incarnation(), held.incarnation());
    if (!heldIncarnationLearned) {
      heldIncarnationLearned = true;
      if (!outdated) {
        self.setIncarnation(Incarnation.next(held.incarnation()));
      }
      announce(nowMs);
    } else if (outdated || held.state().isAccusation() && reporterUnreliable) {
      return;
    } else if (held.state().isAccusation() || contradictsOwnState(held.state())) {
      refute(nowMs, answerTo, held);
    } else {
      // An observer or another process of this proxy has taken a newer incarnation.
      self.setIncarnation(held.incarnation());
    }
  }

  private boolean contradictsOwnState(MemberState held) {
    return held != self.state() && (held.isAbsent() || held == MemberState.LEAVING);
  }

  private void refute(double nowMs, OptionalInt answerTo, MemberStatus held) {
    self.setIncarnation(Incarnation.next(held.incarnation()));
    if (held.state() == MemberState.SUSPECT) {
      health.degrade();
    }
    answerTo.ifPresent(member -> sender.sendAnnouncement(nowMs, member));
    announce(nowMs);
  }

  /** Announces this proxy's status to a few random members. All later messages contain it too. */
  private void announce(double nowMs) {
    if (members.size() == 1) {
      return;
    }
    for (int i = 0; i < ANNOUNCEMENTS; i++) {
      OptionalInt receiver = targets.randomPresent();
      if (receiver.isEmpty()) {
        receiver = targets.randomDormant();
      }
      receiver.ifPresent(member -> sender.sendAnnouncement(nowMs, member));
    }
  }
}
