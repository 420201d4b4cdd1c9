package cacheproxy.membership;

import cacheproxy.membership.Message.ViewSection;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses the content that is piggybacked on each message: the updates that have been sent least
 * often, and the next section of this proxy's complete view. Each update is sent a fixed number of
 * times, enough to reach all members.
 */
final class Dissemination {
  /** An update is sent this many times the binary logarithm of the tier size. */
  private static final int RETRANSMIT_FACTOR = 3;

  private static final int MAX_SECTION_STATUSES = 255;

  private final LocalMember self;
  private final MemberTable members;
  private final SuspicionTable suspicions;
  private final SplittableRandom random;
  private final int transmissionsPerUpdate;

  /** For each member, how many more times its status is to be sent as an update. */
  private final int[] remainingTransmissions;

  /** Number of members with remaining transmissions. */
  private int pendingUpdates;

  private int nextInView;

  Dissemination(ProtocolState state) {
    self = state.self();
    members = state.members();
    suspicions = state.suspicions();
    random = state.random();
    remainingTransmissions = new int[members.size()];
    int logarithm = Integer.SIZE + 1 - Integer.numberOfLeadingZeros(members.size());
    transmissionsPerUpdate = RETRANSMIT_FACTOR * logarithm;
  }

  /** Queues this member's status as an update with the full number of transmissions. */
  void enqueue(int member) {
    pendingUpdates += remainingTransmissions[member] == 0 ? 1 : 0;
    remainingTransmissions[member] = transmissionsPerUpdate;
  }

  /**
   * Returns up to {@code maxUpdates} pending updates, those sent least often first, and decrements
   * their remaining transmissions.
   */
  List<MemberUpdate> takeUpdates(int maxUpdates) {
    int[] chosen = leastSent(Math.min(maxUpdates, pendingUpdates));
    List<MemberUpdate> updates = new ArrayList<>(chosen.length);
    for (int member : chosen) {
      updates.add(
          new MemberUpdate(
              member, members.status(member), suspicions.accuserToReport(member, self.number())));
      remainingTransmissions[member]--;
      pendingUpdates -= remainingTransmissions[member] == 0 ? 1 : 0;
    }
    return updates;
  }

  /**
   * Returns the members with the most remaining transmissions, in descending order. The scan starts
   * at a random member, so that ties are broken at random.
   */
  private int[] leastSent(int count) {
    int[] chosen = new int[count];
    int found = 0;
    int member = random.nextInt(members.size());
    for (int i = 0; i < members.size() && count > 0; i++) {
      boolean full = found == count;
      if (remainingTransmissions[member] > 0
          && !(full
              && remainingTransmissions[chosen[found - 1]] >= remainingTransmissions[member])) {
        found += full ? 0 : 1;
        insert(chosen, found - 1, member);
      }
      member = member + 1 == members.size() ? 0 : member + 1;
    }
    return chosen;
  }

  /**
   * Inserts a member into the sorted array before those with fewer remaining transmissions. The
   * entry at {@code last} is overwritten.
   */
  private void insert(int[] chosen, int last, int member) {
    int at = last;
    while (at > 0 && remainingTransmissions[chosen[at - 1]] < remainingTransmissions[member]) {
      chosen[at] = chosen[at - 1];
      at--;
    }
    chosen[at] = member;
  }

  /**
   * Returns the next section of this proxy's view, with at most {@code maxStatuses} statuses. After
   * the last member, the next section starts at the first one again.
   */
  ViewSection nextSection(int maxStatuses) {
    int size = members.size();
    int first = nextInView >= size ? 0 : nextInView;
    int count = Math.min(Math.min(MAX_SECTION_STATUSES, maxStatuses), size - first);
    MemberStatus[] statuses = new MemberStatus[count];
    for (int i = 0; i < count; i++) {
      int member = first + i;
      statuses[i] = member == self.number() ? self.status() : members.status(member);
    }
    nextInView = first + count;
    return new ViewSection(first, Arrays.asList(statuses));
  }
}
