package cacheproxy.membership;

import java.util.OptionalInt;
import java.util.SplittableRandom;

/**
 * Chooses the members to probe, in rounds of random order as in SWIM, and random members as helpers
 * or as receivers of announcements.
 */
final class ProbeTargets {
  /** Every n-th probe is sent to a dormant member, so that partitions merge. */
  private static final int DORMANT_PROBE_PERIOD = 4;

  /**
   * While the failure detector is unreliable, every n-th probe is sent to the member from which the
   * most recent message was received.
   */
  private static final int LAST_HEARD_PROBE_PERIOD = 2;

  private final int self;
  private final MemberTable members;
  private final LocalHealth health;
  private final boolean deadProbesEnabled;
  private final SplittableRandom random;
  private final int[] order;
  private int nextInOrder;
  private int probesChosen;

  ProbeTargets(ProtocolState state) {
    self = state.self().number();
    members = state.members();
    health = state.health();
    random = state.random();
    deadProbesEnabled = state.isEnabled(Mechanism.DEAD_PROBES);
    order = new int[members.size()];
    for (int member = 0; member < order.length; member++) {
      order[member] = member;
    }
    nextInOrder = order.length;
  }

  /** Returns the member to probe next, or empty if there is none. */
  OptionalInt next() {
    probesChosen++;
    if (health.isUnreliable() && probesChosen % LAST_HEARD_PROBE_PERIOD == 0) {
      OptionalInt lastHeard = lastHeard();
      if (lastHeard.isPresent()) {
        return lastHeard;
      }
    }
    if (probesChosen % DORMANT_PROBE_PERIOD == 0 && deadProbesEnabled) {
      OptionalInt dormant = randomDormant();
      if (dormant.isPresent()) {
        return dormant;
      }
    }
    for (int attempt = 0; attempt < 2 * order.length; attempt++) {
      int member = nextInOrder();
      if (member != self && !members.isDormant(member)) {
        return OptionalInt.of(member);
      }
    }
    return randomDormant();
  }

  private OptionalInt lastHeard() {
    OptionalInt last = OptionalInt.empty();
    for (int member = 0; member < order.length; member++) {
      if (member != self
          && members.isEverHeard(member)
          && (last.isEmpty() || members.isHeardLater(member, last.getAsInt()))) {
        last = OptionalInt.of(member);
      }
    }
    return last;
  }

  private int nextInOrder() {
    if (nextInOrder == order.length) {
      nextInOrder = 0;
      shuffle();
    }
    return order[nextInOrder++];
  }

  private void shuffle() {
    for (int i = order.length - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      int swapped = order[i];
      order[i] = order[j];
      order[j] = swapped;
    }
  }

  /** Returns a random present member other than this one, or empty if there is none. */
  OptionalInt randomPresent() {
    return random(false);
  }

  /** Returns a random dormant member, or empty if there is none. */
  OptionalInt randomDormant() {
    return random(true);
  }

  /** Chooses one candidate uniformly in a single pass (reservoir sampling). */
  private OptionalInt random(boolean dormant) {
    OptionalInt chosen = OptionalInt.empty();
    int candidates = 0;
    for (int member = 0; member < order.length; member++) {
      boolean candidate =
          member != self
              && members.isDormant(member) == dormant
              && (dormant || members.state(member).isPresent());
      if (candidate && random.nextInt(++candidates) == 0) {
        chosen = OptionalInt.of(member);
      }
    }
    return chosen;
  }
}
