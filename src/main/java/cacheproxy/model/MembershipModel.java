package cacheproxy.model;

import cacheproxy.membership.Mechanism;
import cacheproxy.membership.MemberState;
import cacheproxy.membership.Membership;
import cacheproxy.membership.StateChange;
import cacheproxy.membership.Timing;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A tier of the real rules of {@link Membership} in virtual time: datagrams that come late, twice
 * or not at all, ways that are cut in one direction, members that are paused, slowed, killed and
 * started again. Knows the truth, and counts what each believes of the others against it.
 * Deterministic by its seed; times in milliseconds.
 */
public final class MembershipModel {
  /** Whether a datagram of this moment is cut on its way. */
  public interface Cut {
    boolean cuts(double nowMs, int from, int to);
  }

  /** Called for a datagram that a member sends: what arrives in its place; null: nothing. */
  public interface Liar {
    byte[] says(int from, int to, byte[] message);
  }

  private static final int TWIN = 1 << 20;
  private static final double LEAST_DELAY_MS = 1;
  private static final double MEAN_DELAY_MS = 8;

  private record Arrival(double atMs, long order, int from, int to, byte[] message) {}

  private final int tier;
  private final Timing timing;
  private final Mechanism[] without;
  private final SplittableRandom lots;
  private final PriorityQueue<Arrival> wire =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private final PriorityQueue<Arrival> ticks = new PriorityQueue<>(wire.comparator());
  private final Membership[] members;

  /** A second process of a number, as at a takeover: it hears those with odd numbers. */
  private final Membership[] twins;

  /** Of a paused one: what has come meanwhile. */
  private final List<List<Arrival>> mailboxes = new ArrayList<>();

  private final double[] pausedUntil;
  private final double[] killedMs;
  private final int[] lives;
  private long falseVerdicts;
  private int worstFalse;
  private final int[] falseBy;
  private long events;
  private double loss;
  private double twice;
  private Cut cut = (now, from, to) -> false;
  private Liar liar = (from, to, message) -> message;
  private double now;
  private long order;
  private final boolean[][] believesDead;
  private final double[] knownMs;

  public MembershipModel(int tier, Timing timing, long seed, Mechanism... without) {
    this.tier = tier;
    this.timing = timing;
    this.without = without;
    lots = new SplittableRandom(seed);
    members = new Membership[tier];
    twins = new Membership[tier];
    pausedUntil = new double[tier];
    killedMs = new double[tier];
    lives = new int[tier];
    believesDead = new boolean[tier][tier];
    knownMs = new double[tier];
    falseBy = new int[tier];
    for (int m = 0; m < tier; m++) {
      mailboxes.add(new ArrayList<>());
      killedMs[m] = 0;
    }
  }

  // ---- faults

  public MembershipModel loss(double part) {
    loss = part;
    return this;
  }

  public MembershipModel duplicates(double part) {
    twice = part;
    return this;
  }

  public MembershipModel cut(Cut by) {
    cut = by;
    return this;
  }

  public MembershipModel liar(Liar by) {
    liar = by;
    return this;
  }

  /** Starts these, or starts them again with nothing of before. */
  public void start(int... which) {
    for (int m : which) {
      int me = m;
      int life = ++lives[m];
      killedMs[m] = Double.NaN;
      java.util.Arrays.fill(believesDead[m], false);
      members[m] =
          new Membership(
              tier,
              m,
              timing,
              lots.nextLong(),
              now,
              new Membership.Callbacks() {
                @Override
                public void send(int to, byte[] message) {
                  if (life == lives[me]) {
                    post(me, to, message);
                  }
                }

                @Override
                public void stateChanged(StateChange e) {
                  if (life == lives[me]) {
                    believes(me, e);
                  }
                }
              },
              without);
      members[m].startServing(now);
      ticks.add(new Arrival(now + lots.nextDouble() * 20, order++, m, life, null));
    }
  }

  public void startAll() {
    start(java.util.stream.IntStream.range(0, tier).toArray());
  }

  /** A second process of this number begins beside the first. */
  public void startBeside(int m) {
    twins[m] =
        new Membership(
            tier,
            m,
            timing,
            lots.nextLong(),
            now,
            new Membership.Callbacks() {
              @Override
              public void send(int to, byte[] message) {
                post(m, to, message);
              }

              @Override
              public void stateChanged(StateChange e) {
                events++;
              }
            },
            without);
    twins[m].startServing(now);
    twins[m].setParallelProcess(now, true);
    members[m].setParallelProcess(now, true);
    ticks.add(new Arrival(now, order++, m, TWIN, null));
  }

  /** The first of two processes of a number ends, without a word as the second serves. */
  public void takeOver(int m) {
    members[m] = twins[m];
    members[m].setParallelProcess(now, false);
    twins[m] = null;
    lives[m] = TWIN;
  }

  public void kill(int... which) {
    for (int m : which) {
      killedMs[m] = now;
      lives[m]++;
      members[m] = null;
      mailboxes.get(m).clear();
      knownMs[m] = 0;
    }
  }

  /** Stands still, and then reads all that has come. */
  public void pause(int m, double forMs) {
    pausedUntil[m] = now + forMs;
  }

  /** A datagram from anywhere, at any time. */
  public void deliver(int from, int to, byte[] message) {
    wire.add(new Arrival(now, order++, from, to, message));
  }

  private void post(int from, int to, byte[] message) {
    byte[] says = liar.says(from, to, message);
    if (says == null || cut.cuts(now, from, to) || lots.nextDouble() < loss) {
      return;
    }
    do {
      double delay = LEAST_DELAY_MS - MEAN_DELAY_MS * Math.log(1 - lots.nextDouble());
      wire.add(new Arrival(now + delay, order++, from, to, says));
    } while (lots.nextDouble() < twice);
  }

  private void believes(int by, StateChange e) {
    events++;
    believesDead[by][e.member()] = e.to() == MemberState.DEAD;
    if (e.to() == MemberState.DEAD) {
      if (members[e.member()] != null) {
        falseVerdicts++;
        falseBy[by]++;
        int say = 0;
        for (int m = 0; m < tier; m++) {
          say += m != e.member() && members[m] != null && believesDead[m][e.member()] ? 1 : 0;
        }
        worstFalse = Math.max(worstFalse, say);
      } else {
        knownMs[e.member()] = now;
      }
    }
  }

  // ---- time

  /** Lets so much time pass. */
  public MembershipModel run(double forMs) {
    double end = now + forMs;
    while (true) {
      Arrival tick = ticks.peek();
      Arrival arrival = wire.peek();
      boolean clock = tick != null && (arrival == null || tick.atMs <= arrival.atMs);
      Arrival next = clock ? tick : arrival;
      if (next == null || next.atMs > end) {
        now = end;
        return this;
      }
      now = Math.max(now, next.atMs);
      if (clock) {
        ticks.poll();
        tick(next);
      } else {
        wire.poll();
        if (members[next.to] != null) {
          if (now < pausedUntil[next.to]) {
            mailboxes.get(next.to).add(next);
          } else {
            (twins[next.to] != null && next.from % 2 == 1 ? twins[next.to] : members[next.to])
                .receive(now, next.from, next.message);
          }
        }
      }
    }
  }

  private void tick(Arrival due) {
    int m = due.from;
    Membership ticked = due.to == TWIN && twins[m] != null ? twins[m] : members[m];
    if (ticked == null || due.to != lives[m] && ticked != twins[m]) {
      return;
    }
    if (now < pausedUntil[m]) {
      ticks.add(new Arrival(pausedUntil[m], order++, m, due.to, null));
      return;
    }
    // By lot the timer that was due comes first, or what waits in the socket.
    boolean first = lots.nextBoolean();
    if (first) {
      ticked.tick(now);
    }
    for (Arrival a : mailboxes.get(m)) {
      members[m].receive(now, a.from, a.message);
    }
    mailboxes.get(m).clear();
    if (!first) {
      ticked.tick(now);
    }
    double next = ticked.nextTickMs();
    if (next < Double.POSITIVE_INFINITY) {
      ticks.add(
          new Arrival(Math.max(now + 1, next + lots.nextDouble() * 3), order++, m, due.to, null));
    }
  }

  /** Runs until all views are as the truth is. So long that took; infinite: not within this. */
  public double untilAgreed(double withinMs) {
    double began = now;
    while (now - began < withinMs) {
      if (agreed()) {
        return now - began;
      }
      run(50);
    }
    return agreed() ? now - began : Double.POSITIVE_INFINITY;
  }

  // ---- what is so

  public Membership member(int m) {
    return members[m];
  }

  public boolean alive(int m) {
    return members[m] != null;
  }

  public double nowMs() {
    return now;
  }

  /** Whether each that lives holds all that live for alive and all others not. */
  public boolean agreed() {
    for (int by = 0; by < tier; by++) {
      for (int of = 0; of < tier && members[by] != null; of++) {
        MemberState s = members[by].state(of);
        if (members[of] != null
            ? s != MemberState.ALIVE
            : s == MemberState.ALIVE || s == MemberState.SUSPECT || s == MemberState.STARTING) {
          return false;
        }
      }
    }
    return true;
  }

  /** How many that live hold this one for dead. */
  public int accusers(int of) {
    int count = 0;
    for (int m = 0; m < tier; m++) {
      count += m != of && members[m] != null && members[m].state(of) == MemberState.DEAD ? 1 : 0;
    }
    return count;
  }

  /** Verdicts of death on members that lived, each by one judge. */
  public long falseVerdicts() {
    return falseVerdicts;
  }

  /** Those of them that were this member's. */
  public int falseVerdictsBy(int m) {
    return falseBy[m];
  }

  /** The most who held one and the same member for dead while it lived. */
  public int worstFalse() {
    return worstFalse;
  }

  /** From its kill to the last verdict on it. */
  public double knownAfterMs(int m) {
    return knownMs[m] - killedMs[m];
  }

  public long events() {
    return events;
  }
}
