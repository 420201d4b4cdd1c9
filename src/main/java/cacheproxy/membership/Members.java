package cacheproxy.membership;

import cacheproxy.membership.Message.Entry;
import java.util.Arrays;

/**
 * What one proxy holds of each member of its tier: one entry each, in arrays of the tier's size,
 * and nothing that grows. Orders what is said of a member and keeps the evidence beside it; it
 * neither asks nor judges.
 */
final class Members {
  /** Confirmations of a suspicion that count, besides its first accuser. */
  static final int CONFIRMATIONS = 3;

  private static final int LIVES = 2;
  private static final double NEVER = Double.NEGATIVE_INFINITY;

  final int tier;
  private final State[] states;
  private final int[] incarnations;
  private final double[] sinceMs;
  private final double[] heardMs;

  /**
   * By member, for two processes of it (a takeover): life and last sequence number; 0 in the first:
   * none.
   */
  private final int[] lives;

  private final int[] sequences;
  private final int[] accusers;
  private final double[] beganMs;
  private final boolean[] unanswered;
  private int pending;

  Members(int tier, double now) {
    this.tier = tier;
    states = new State[tier];
    Arrays.fill(states, State.UNKNOWN);
    incarnations = new int[tier];
    sinceMs = filled(tier, now);
    heardMs = filled(tier, NEVER);
    lives = new int[tier * LIVES];
    sequences = new int[tier * LIVES];
    accusers = new int[tier * (CONFIRMATIONS + 1)];
    Arrays.fill(accusers, -1);
    beganMs = filled(tier, NEVER);
    unanswered = new boolean[tier];
  }

  private static double[] filled(int n, double with) {
    double[] all = new double[n];
    Arrays.fill(all, with);
    return all;
  }

  State state(int m) {
    return states[m];
  }

  int incarnation(int m) {
    return incarnations[m];
  }

  Entry entry(int m) {
    return new Entry(states[m], incarnations[m]);
  }

  double sinceMs(int m) {
    return sinceMs[m];
  }

  /** When it was last heard first-hand; negative infinity: never. */
  double heardMs(int m) {
    return heardMs[m];
  }

  void heard(int m, double now) {
    heardMs[m] = now;
    unanswered[m] = false;
  }

  /** Whether the own questions to it go unanswered although others hear it: a cut between two. */
  boolean unanswered(int m) {
    return unanswered[m];
  }

  void unanswered(int m, boolean is) {
    unanswered[m] = is;
  }

  /** Sets an entry; a suspicion begins anew with it. */
  void set(int m, State state, int incarnation, double now) {
    if (states[m] != state) {
      sinceMs[m] = now;
    }
    pending += (waits(state) ? 1 : 0) - (waits(states[m]) ? 1 : 0);
    states[m] = state;
    incarnations[m] = incarnation;
    Arrays.fill(accusers, m * (CONFIRMATIONS + 1), (m + 1) * (CONFIRMATIONS + 1), -1);
    beganMs[m] = state == State.SUSPECT ? now : NEVER;
  }

  private static boolean waits(State s) {
    return s == State.SUSPECT || s == State.LEAVING;
  }

  /** How many are in a state that ends by the clock. */
  int pending() {
    return pending;
  }

  /** Whether this outweighs what is held. */
  boolean outweighed(int m, Entry by) {
    return Incarnation.newer(by.incarnation(), incarnations[m])
        || by.incarnation() == incarnations[m] && by.state().ordinal() > states[m].ordinal();
  }

  /** One more who accuses a suspect. False: it is among them already, or enough are. */
  boolean accuse(int m, int accuser) {
    for (int a = m * (CONFIRMATIONS + 1); a < (m + 1) * (CONFIRMATIONS + 1); a++) {
      if (accusers[a] == accuser) {
        return false;
      }
      if (accusers[a] < 0) {
        accusers[a] = accuser;
        return true;
      }
    }
    return false;
  }

  /** How many accuse it. */
  int accused(int m) {
    int count = 0;
    for (int a = m * (CONFIRMATIONS + 1); a < (m + 1) * (CONFIRMATIONS + 1); a++) {
      count += accusers[a] >= 0 ? 1 : 0;
    }
    return count;
  }

  /** The accuser of this rank, from 0; -1: none. */
  int accuser(int m, int rank) {
    return accusers[m * (CONFIRMATIONS + 1) + rank];
  }

  /** When its suspicion began. */
  double beganMs(int m) {
    return beganMs[m];
  }

  /** So much time has passed in which nobody here could have heard a refutation. */
  void missed(double ms, double now) {
    for (int m = 0; m < tier; m++) {
      beganMs[m] = Math.min(now, beganMs[m] + ms);
    }
  }

  /**
   * Whether a message is newer than all heard of that process. The first one of a process that was
   * not known proves nothing: it may be an old one's, an hour late.
   */
  boolean fresh(int m, int life, int sequence) {
    for (int l = m * LIVES; l < (m + 1) * LIVES; l++) {
      if (lives[l] == life) {
        boolean newer = sequence - sequences[l] > 0;
        sequences[l] = newer ? sequence : sequences[l];
        return newer;
      }
    }
    lives[m * LIVES + 1] = lives[m * LIVES];
    sequences[m * LIVES + 1] = sequences[m * LIVES];
    lives[m * LIVES] = life;
    sequences[m * LIVES] = sequence;
    return false;
  }

  /** How many are in one of these states. */
  int count(State... of) {
    int count = 0;
    for (State s : states) {
      for (State o : of) {
        count += s == o ? 1 : 0;
      }
    }
    return count;
  }
}
