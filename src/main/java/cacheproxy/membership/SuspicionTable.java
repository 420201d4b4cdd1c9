package cacheproxy.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;

/**
 * The suspicions in one proxy's view: the accusers of each suspect and the time since which it is
 * suspected, in arrays indexed by member number. A suspicion has no accusers if it was reported
 * without one.
 */
final class SuspicionTable {
  /** Maximum number of accusers that are recorded besides the first one. */
  static final int MAX_CONFIRMATIONS = 3;

  private static final int MAX_ACCUSERS = MAX_CONFIRMATIONS + 1;
  private static final int NO_ACCUSER = -1;
  private static final double NOT_SUSPECTED = Double.NEGATIVE_INFINITY;

  /**
   * {@link #MAX_ACCUSERS} entries for each member, in the order in which the accusers were added.
   */
  private final int[] accusers;

  private final double[] beganMs;

  SuspicionTable(int tierSize) {
    accusers = new int[tierSize * MAX_ACCUSERS];
    Arrays.fill(accusers, NO_ACCUSER);
    beganMs = new double[tierSize];
    Arrays.fill(beganMs, NOT_SUSPECTED);
  }

  /** Begins a new suspicion of this member, without accusers. */
  void begin(int member, double nowMs) {
    clear(member);
    beganMs[member] = nowMs;
  }

  /** Ends the suspicion of this member, if there is one. */
  void clear(int member) {
    Arrays.fill(accusers, firstSlot(member), firstSlot(member + 1), NO_ACCUSER);
    beganMs[member] = NOT_SUSPECTED;
  }

  /**
   * Adds an accuser.
   *
   * @return false if it already is an accuser of this member, or the maximum number is reached
   */
  boolean addAccuser(int member, int accuser) {
    for (int slot = firstSlot(member); slot < firstSlot(member + 1); slot++) {
      if (accusers[slot] == accuser) {
        return false;
      }
      if (accusers[slot] == NO_ACCUSER) {
        accusers[slot] = accuser;
        return true;
      }
    }
    return false;
  }

  /** Returns the number of the member's accusers. */
  int accuserCount(int member) {
    int count = 0;
    for (int slot = firstSlot(member); slot < firstSlot(member + 1); slot++) {
      count += accusers[slot] == NO_ACCUSER ? 0 : 1;
    }
    return count;
  }

  /** Returns the member's accusers in the order in which they were added. */
  List<Integer> accusers(int member) {
    List<Integer> joined = new ArrayList<>(MAX_ACCUSERS);
    for (int slot = firstSlot(member); slot < firstSlot(member + 1); slot++) {
      if (accusers[slot] != NO_ACCUSER) {
        joined.add(accusers[slot]);
      }
    }
    return joined;
  }

  /** Returns whether {@code accuser} was the first to accuse the member. */
  boolean isFirstAccuser(int member, int accuser) {
    return accusers[firstSlot(member)] == accuser;
  }

  /** Returns {@code preferred} if it accuses the member, otherwise the accuser added last. */
  OptionalInt accuserToReport(int member, int preferred) {
    OptionalInt last = OptionalInt.empty();
    for (int slot = firstSlot(member); slot < firstSlot(member + 1); slot++) {
      if (accusers[slot] == preferred) {
        return OptionalInt.of(preferred);
      }
      if (accusers[slot] != NO_ACCUSER) {
        last = OptionalInt.of(accusers[slot]);
      }
    }
    return last;
  }

  /** Returns how long the member has been suspected, in ms; infinite if it is not suspected. */
  double ageMs(int member, double nowMs) {
    return nowMs - beganMs[member];
  }

  /**
   * Extends the time of all suspects to refute, after a period in which this proxy could not
   * reliably receive refutations.
   */
  void extendAll(double extensionMs, double nowMs) {
    for (int member = 0; member < beganMs.length; member++) {
      beganMs[member] = Math.min(nowMs, beganMs[member] + extensionMs);
    }
  }

  private static int firstSlot(int member) {
    return member * MAX_ACCUSERS;
  }
}
