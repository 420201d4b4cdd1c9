package cacheproxy.model;

import cacheproxy.shared.LeaseMessage;
import cacheproxy.shared.SlowStartQuota;
import java.util.ArrayDeque;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A tier that shares one budget by {@link SlowStartQuota}, in virtual time: messages that are lost,
 * doubled, late by up to an hour or cut, clocks that go faster or slower, pauses, deaths and
 * restarts. It adds up what all spend in each window and what all could. Deterministic by its seed;
 * times in milliseconds of true time.
 */
public final class SlowStartQuotaModel {
  private record Post(double atMs, long order, int from, int to, LeaseMessage message) {}

  private record Spent(double atMs, double amount) {}

  private final SlowStartQuota.Settings terms;
  private final SlowStartQuota.Safeguard[] without;
  private final SplittableRandom lots;
  private final SlowStartQuota[] rights;
  private final double[] rate;
  private final double[] offset;
  private final double[] demand;
  private final double[] pausedUntil;
  private final int[] side;
  private final PriorityQueue<Post> wire =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private final ArrayDeque<Spent> window = new ArrayDeque<>();
  private final double windowMs;
  private double inWindow;
  private double most;
  private double now;
  private double spent;
  private double refused;
  private double loss;
  private double late;
  private long order;

  public SlowStartQuotaModel(
      SlowStartQuota.Settings terms,
      double windowMs,
      long seed,
      SlowStartQuota.Safeguard... without) {
    this.terms = terms;
    this.windowMs = windowMs;
    this.without = without;
    lots = new SplittableRandom(seed);
    int n = terms.proxies();
    rights = new SlowStartQuota[n];
    rate = new double[n];
    offset = new double[n];
    demand = new double[n];
    pausedUntil = new double[n];
    side = new int[n];
    for (int p = 0; p < n; p++) {
      rate[p] = 1 + terms.clockDrift() * (2 * lots.nextDouble() - 1);
      offset[p] = lots.nextDouble() * 1e9;
      start(p);
    }
  }

  private double clock(int p) {
    return offset[p] + now * rate[p];
  }

  public void start(int p) {
    offset[p] = lots.nextDouble() * 1e9 - now; // another process, another clock
    rights[p] = new SlowStartQuota(terms, lots.nextInt(), clock(p), without);
  }

  public void kill(int p) {
    rights[p] = null;
  }

  public void pause(int p, double forMs) {
    pausedUntil[p] = now + forMs;
  }

  /** What one wants to spend in a millisecond. */
  public void demand(int p, double perMs) {
    demand[p] = perMs;
  }

  public void wire(double lost, double lateByUpToAnHour) {
    loss = lost;
    late = lateByUpToAnHour;
  }

  /** Only those of one side hear each other. */
  public void side(int p, int of) {
    side[p] = of;
  }

  private void post(int from, int to, LeaseMessage m) {
    if (m == null || side[from] != side[to] || lots.nextDouble() < loss) {
      return;
    }
    do {
      double delay =
          lots.nextDouble() < late
              ? lots.nextDouble() * 3_600_000 * lots.nextDouble() * lots.nextDouble()
              : 1 - 10 * Math.log(1 - lots.nextDouble());
      wire.add(new Post(now + delay, order++, from, to, m));
    } while (lots.nextDouble() < 0.1);
  }

  /** Lets time pass, in steps of about 20 ms. */
  public SlowStartQuotaModel run(double forMs) {
    for (double end = now + forMs; now < end; ) {
      now = Math.min(end, now + 10 + 20 * lots.nextDouble());
      while (!wire.isEmpty() && wire.peek().atMs <= now) {
        Post p = wire.poll();
        if (rights[p.to] == null) {
          continue;
        }
        if (now < pausedUntil[p.to]) {
          wire.add(
              new Post(
                  pausedUntil[p.to] + lots.nextDouble() * 5, order++, p.from, p.to, p.message));
          continue;
        }
        post(p.to, p.from, rights[p.to].receive(clock(p.to), p.from, p.message).orElse(null));
      }
      for (int p = 0; p < rights.length; p++) {
        if (rights[p] != null && now >= pausedUntil[p]) {
          step(p);
        }
      }
      add();
    }
    return this;
  }

  private void step(int p) {
    double wants = demand[p] * 20;
    for (int i = 0; i < 4; i++) {
      if (wants > 0 && rights[p].trySpend(clock(p), wants / 4)) {
        window.add(new Spent(now, wants / 4));
        inWindow += wants / 4;
        spent += wants / 4;
      } else {
        refused += wants / 4;
      }
    }
    if (lots.nextInt(5) == 0) {
      OptionalInt lender = rights[p].lenderToRenewWith(clock(p));
      int whom = lender.isPresent() ? lender.getAsInt() : lots.nextInt(rights.length);
      if (whom != p) {
        post(p, whom, rights[p].requestLease(clock(p), whom).orElse(null));
      }
    }
  }

  private void add() {
    while (!window.isEmpty() && window.peek().atMs < now - windowMs) {
      inWindow -= window.poll().amount;
    }
    most = Math.max(most, inWindow);
  }

  /** The units that all who run may spend now, added up; a look that has each see its clock. */
  public long units() {
    long all = 0;
    for (int p = 0; p < rights.length; p++) {
      all += rights[p] != null && now >= pausedUntil[p] ? rights[p].spendableUnits(clock(p)) : 0;
    }
    return all;
  }

  /** The most that was spent within a window. */
  public double most() {
    return most;
  }

  /** What the budget allows within a window, by clocks that go as much too fast as they may. */
  public double allowed() {
    return terms.ratePerMs() * (windowMs + 60) * (1 + terms.clockDrift()) + terms.burst();
  }

  public double spent() {
    return spent;
  }

  public double refused() {
    return refused;
  }

  public double nowMs() {
    return now;
  }
}
