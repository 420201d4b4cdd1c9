package cacheproxy.membership;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.OptionalDouble;

/**
 * One proxy's records about each member of its tier, in arrays indexed by member number. The table
 * only stores statuses and times; {@link Suspicions} and {@link UpdateMerger} decide on them.
 */
final class MemberTable {
  private static final double NEVER = Double.NEGATIVE_INFINITY;

  private final MemberState[] states;
  private final int[] incarnations;
  private final double[] sinceMs;
  private final double[] heardMs;
  private final boolean[] unanswered;
  private final SuspicionTable suspicions;
  private int timedStates;

  MemberTable(int tierSize, SuspicionTable suspicions, double nowMs) {
    this.suspicions = suspicions;
    states = new MemberState[tierSize];
    Arrays.fill(states, MemberState.UNKNOWN);
    incarnations = new int[tierSize];
    sinceMs = new double[tierSize];
    Arrays.fill(sinceMs, nowMs);
    heardMs = new double[tierSize];
    Arrays.fill(heardMs, NEVER);
    unanswered = new boolean[tierSize];
  }

  /** Returns the number of members of the tier, including this proxy. */
  int size() {
    return states.length;
  }

  MemberState state(int member) {
    return states[member];
  }

  int incarnation(int member) {
    return incarnations[member];
  }

  MemberStatus status(int member) {
    return new MemberStatus(states[member], incarnations[member]);
  }

  /** Returns how long the member has been in its current state, in ms. */
  double stateAgeMs(int member, double nowMs) {
    return nowMs - sinceMs[member];
  }

  /**
   * Sets a member's status. A suspicion of the member ends; if the new state is SUSPECT, a new one
   * begins.
   */
  void setStatus(int member, MemberStatus status, double nowMs) {
    if (states[member] != status.state()) {
      sinceMs[member] = nowMs;
    }
    timedStates += (isTimed(status.state()) ? 1 : 0) - (isTimed(states[member]) ? 1 : 0);
    states[member] = status.state();
    incarnations[member] = status.incarnation();
    if (status.state() == MemberState.SUSPECT) {
      suspicions.begin(member, nowMs);
    } else {
      suspicions.clear(member);
    }
  }

  private static boolean isTimed(MemberState state) {
    return state == MemberState.SUSPECT || state == MemberState.LEAVING;
  }

  /** Returns whether any member is in a state that ends after a timeout. */
  boolean hasTimedStates() {
    return timedStates > 0;
  }

  /** Records the receipt of a message from the member itself. */
  void recordHeard(int member, double nowMs) {
    heardMs[member] = nowMs;
    unanswered[member] = false;
  }

  /**
   * Returns the time in ms since the last message from the member itself, or empty if none has been
   * received.
   */
  OptionalDouble sinceHeardMs(int member, double nowMs) {
    return heardMs[member] == NEVER
        ? OptionalDouble.empty()
        : OptionalDouble.of(nowMs - heardMs[member]);
  }

  /** Returns whether a message from the member itself was received in the last {@code spanMs}. */
  boolean isHeardWithin(int member, double spanMs, double nowMs) {
    return nowMs - heardMs[member] <= spanMs;
  }

  /** Returns whether a message from the member itself was received after {@code timeMs}. */
  boolean isHeardAfter(int member, double timeMs) {
    return heardMs[member] > timeMs;
  }

  /** Returns whether the last message from {@code member} is more recent than {@code other}'s. */
  boolean isHeardLater(int member, int other) {
    return heardMs[member] > heardMs[other];
  }

  /** Returns whether any message from the member itself has been received. */
  boolean isEverHeard(int member) {
    return heardMs[member] != NEVER;
  }

  /**
   * Returns whether this proxy's last direct probe of the member was not answered, and no message
   * from the member has been received since.
   */
  boolean isUnanswered(int member) {
    return unanswered[member];
  }

  void setUnanswered(int member, boolean value) {
    unanswered[member] = value;
  }

  /**
   * Returns whether the member is probed only occasionally, because it is absent, or because
   * nothing is known about it and it did not answer a probe.
   */
  boolean isDormant(int member) {
    return states[member].isAbsent() || states[member] == MemberState.UNKNOWN && unanswered[member];
  }

  /** Returns the number of members that are in one of these states. */
  int count(EnumSet<MemberState> wanted) {
    int count = 0;
    for (MemberState state : states) {
      count += wanted.contains(state) ? 1 : 0;
    }
    return count;
  }
}
