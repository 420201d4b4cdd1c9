package cacheproxy.membership;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.OptionalDouble;

/**
 * What one proxy holds of each member of its tier, in arrays of the tier's size. The table records
 * statuses and times; it decides nothing.
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

  /** Returns how many members the tier has. */
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

  /** Returns for how long the member has been in its state. */
  double stateAgeMs(int member, double nowMs) {
    return nowMs - sinceMs[member];
  }

  /** Sets a status. A suspicion begins anew with it, or ends. */
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

  /** Returns whether any member is in a state that ends by the clock. */
  boolean hasTimedStates() {
    return timedStates > 0;
  }

  /** Notes a message from the member itself. */
  void recordHeard(int member, double nowMs) {
    heardMs[member] = nowMs;
    unanswered[member] = false;
  }

  /** Returns the time since a message from the member itself; empty: none has come. */
  OptionalDouble sinceHeardMs(int member, double nowMs) {
    return heardMs[member] == NEVER
        ? OptionalDouble.empty()
        : OptionalDouble.of(nowMs - heardMs[member]);
  }

  /** Returns whether the member itself was heard within the given time. */
  boolean isHeardWithin(int member, double spanMs, double nowMs) {
    return nowMs - heardMs[member] <= spanMs;
  }

  /** Returns whether the member itself was heard after this time. */
  boolean isHeardAfter(int member, double timeMs) {
    return heardMs[member] > timeMs;
  }

  /** Returns whether {@code member} was heard, and later than {@code other}. */
  boolean isHeardLater(int member, int other) {
    return heardMs[member] > heardMs[other];
  }

  /** Returns whether the member itself was ever heard. */
  boolean isEverHeard(int member) {
    return heardMs[member] != NEVER;
  }

  /** Returns whether this proxy's last probe of the member failed and nothing was heard since. */
  boolean isUnanswered(int member) {
    return unanswered[member];
  }

  void setUnanswered(int member, boolean value) {
    unanswered[member] = value;
  }

  /**
   * Returns whether the member is only probed now and then: it is absent, or nobody has heard of it
   * and it did not answer.
   */
  boolean isDormant(int member) {
    return states[member].isAbsent() || states[member] == MemberState.UNKNOWN && unanswered[member];
  }

  /** Returns how many members are in one of these states. */
  int count(EnumSet<MemberState> wanted) {
    int count = 0;
    for (MemberState state : states) {
      count += wanted.contains(state) ? 1 : 0;
    }
    return count;
  }
}
