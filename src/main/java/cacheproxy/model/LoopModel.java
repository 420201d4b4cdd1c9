package cacheproxy.model;

import cacheproxy.overload.CpuLoadShedder;
import cacheproxy.routing.Policy;
import cacheproxy.routing.RoutingApi.Idempotency;
import cacheproxy.routing.RoutingApi.IdempotencyScope;
import cacheproxy.routing.RoutingApi.LoadReportSource;
import cacheproxy.routing.RoutingApi.RequestSummary;
import cacheproxy.routing.RoutingApi.ServiceClass;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * One proxy's event loop on part of a processor, with the kernel's queue before it and clients that
 * wait, give up and ask again. Rounds are as the real loop has them: all that is ready is selected,
 * worked off and only then looked at again. The rules asked are the real ones; what a request costs
 * and what clients do are figures of the plan.
 */
public final class LoopModel {
  /** The loop wakes by itself so often, as the real one does for its sweeps. */
  private static final double TICK_MS = 50;

  /**
   * A bound on the processor is kept in periods of so many milliseconds, as Linux does by default.
   */
  static final double PERIOD_MS = 100;

  /**
   * What is played; times in milliseconds.
   *
   * @param perSecond requests that come anew in the second of this number; the last figure holds on
   * @param servedMs processor time of a request that is served, half of it when its server's answer
   *     comes
   * @param refusedMs processor time of one that is turned away
   * @param serverMs how long servers take
   * @param aimMs an answer by then is in time
   * @param patienceMs a client leaves by then, and asks again
   * @param retries how often a client asks again in all
   * @param honours the part of clients that come again when they were told to and not at once
   * @param slowFrom from here on, up to {@code slowTo}, the processor does {@code slowSpeed} of its
   *     work
   * @param stopFrom from here on, up to {@code stopTo}, the whole process stands still
   * @param share of a processor, kept to by standing still for the rest of each {@link #PERIOD_MS}
   */
  public record Plan(
      double[] perSecond,
      double servedMs,
      double refusedMs,
      double serverMs,
      double aimMs,
      double patienceMs,
      int retries,
      double honours,
      double slowFrom,
      double slowTo,
      double slowSpeed,
      double stopFrom,
      double stopTo,
      double share) {
    /** Steady clients of a site whose aim is 250 ms. */
    public static Plan of(double servedMs, double refusedMs, double... perSecond) {
      return new Plan(perSecond, servedMs, refusedMs, 20, 250, 1000, 2, 0.7, 0, 0, 1, 0, 0, 1);
    }

    public Plan honours(double part, int times) {
      return new Plan(
          perSecond,
          servedMs,
          refusedMs,
          serverMs,
          aimMs,
          patienceMs,
          times,
          part,
          slowFrom,
          slowTo,
          slowSpeed,
          stopFrom,
          stopTo,
          share);
    }

    public Plan slowed(double from, double to, double speed) {
      return new Plan(
          perSecond,
          servedMs,
          refusedMs,
          serverMs,
          aimMs,
          patienceMs,
          retries,
          honours,
          from,
          to,
          speed,
          stopFrom,
          stopTo,
          share);
    }

    public Plan stopped(double from, double to) {
      return new Plan(
          perSecond,
          servedMs,
          refusedMs,
          serverMs,
          aimMs,
          patienceMs,
          retries,
          honours,
          slowFrom,
          slowTo,
          slowSpeed,
          from,
          to,
          share);
    }

    /**
     * Held to this part of a processor: whatever it takes of it in each {@link #PERIOD_MS}, it
     * stands still then.
     */
    public Plan share(double part) {
      return new Plan(
          perSecond,
          servedMs,
          refusedMs,
          serverMs,
          aimMs,
          patienceMs,
          retries,
          honours,
          slowFrom,
          slowTo,
          slowSpeed,
          stopFrom,
          stopTo,
          part);
    }

    private double rate(double ms) {
      return perSecond[Math.min(perSecond.length - 1, (int) (ms / 1000))];
    }
  }

  /** What is asked of the decision module: a negative figure to take it, else when to come back. */
  public interface Gate {
    double turnAway(double nowMs, Ask ask, double waitedMs, double excess);

    /**
     * The decision module itself: the usual class is worth 1, the rare one 8, a late answer a fifth
     * of that.
     */
    static Gate module(double aimMs, double patienceMs, long seed) {
      List<ServiceClass> classes =
          List.of(
              new ServiceClass(
                  "usual",
                  Idempotency.IDEMPOTENT,
                  IdempotencyScope.ALL,
                  0,
                  aimMs,
                  patienceMs,
                  1,
                  0.2,
                  false),
              new ServiceClass(
                  "rare",
                  Idempotency.IDEMPOTENT,
                  IdempotencyScope.ALL,
                  0,
                  aimMs,
                  patienceMs,
                  8,
                  0.2,
                  false));
      Policy policy =
          new Policy(
              new Settings(
                  0,
                  1,
                  0,
                  1,
                  1,
                  false,
                  false,
                  -1,
                  LoadReportSource.NONE,
                  List.of(),
                  false,
                  1,
                  true,
                  false,
                  false,
                  true,
                  true,
                  3,
                  patienceMs,
                  250,
                  1000,
                  20,
                  0.3,
                  9000,
                  3,
                  1500,
                  1000,
                  2,
                  3000,
                  classes,
                  List.of()),
              seed);
      return (now, ask, waited, excess) ->
          policy.rejectForOverload(
              now, new RequestSummary(ask.kind, 0, ask.tries > 0, waited, patienceMs), excess);
    }
  }

  /** One try of a client. */
  public static final class Ask {
    /** The class that the plan's draw gave it: 0 is the usual one, 1 is one in twenty. */
    public final int kind;

    /** Which of the client's tries it is, from 0. */
    public final int tries;

    final double firstMs;
    final double sentMs;

    /** Its client has had an answer, or has left. */
    boolean over;

    boolean answer;

    private Ask(int kind, int tries, double firstMs, double sentMs) {
      this.kind = kind;
      this.tries = tries;
      this.firstMs = firstMs;
      this.sentMs = sentMs;
    }
  }

  /** One second of clients' first tries: how they ended, whichever try it was. */
  public static final class Second {
    public int offered;
    public int inTime;
    public int late;
    public int refusals;

    /** Of the class that is rare and worth more. */
    public int rareOffered;

    public int rareInTime;
  }

  private record Event(double atMs, long order, Ask ask, int what) {}

  private static final int COMES = 0;
  private static final int LEAVES = 1;
  private static final int ANSWER = 2;

  private final Plan plan;
  private final CpuLoadShedder budget;
  private final Gate gate;
  private final RandomGenerator random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
  private final ArrayDeque<Ask> kernel = new ArrayDeque<>();
  private final List<Second> seconds = new ArrayList<>();
  private long order;
  private double nextComesMs;
  private double now;
  private double ranMs;
  private long period;
  private double ranInPeriodMs;

  /**
   * @param budget null: there is none, and whatever comes is served
   */
  public LoopModel(Plan plan, CpuLoadShedder budget, Gate gate, long seed) {
    this.plan = plan;
    this.budget = budget;
    this.gate = gate;
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  /** Plays so many seconds and tells of each. */
  public List<Second> play(int length) {
    for (int i = 0; i < length; i++) {
      seconds.add(new Second());
    }
    double endMs = length * 1000.0;
    nextComesMs = gap();
    while (now < endMs) {
      double due = (Math.floor(now / TICK_MS) + 1) * TICK_MS;
      if (budget != null && budget.beforeSelect(now, due)) {
        budget.endInterval(now, (long) (ranMs * 1e6) + " 0 0");
      }
      happen(now);
      if (kernel.isEmpty()) {
        double next = events.isEmpty() ? nextComesMs : Math.min(nextComesMs, events.peek().atMs());
        now = awake(Math.min(due, next));
        happen(now);
      }
      if (budget != null) {
        budget.afterSelect(now);
      }
      for (int ready = kernel.size(); ready > 0; ready--) {
        work(kernel.poll());
      }
    }
    return seconds;
  }

  private double gap() {
    return -Math.log(1 - random.nextDouble()) * 1000 / Math.max(1e-9, plan.rate(nextComesMs));
  }

  /** What clients and servers have done up to this time. */
  private void happen(double until) {
    while (true) {
      boolean fresh = events.isEmpty() || nextComesMs <= events.peek().atMs();
      double at = fresh ? nextComesMs : events.peek().atMs();
      if (at > until) {
        return;
      }
      if (fresh) {
        int kind = random.nextInt(20) == 0 ? 1 : 0;
        Second second = second(at);
        if (second != null) {
          second.offered++;
          second.rareOffered += kind;
        }
        come(new Ask(kind, 0, at, at));
        nextComesMs += gap();
        continue;
      }
      Event e = events.poll();
      switch (e.what()) {
        case COMES -> come(e.ask());
        case LEAVES -> {
          if (!e.ask().over) {
            again(e.ask(), e.atMs());
          }
        }
        default -> {
          e.ask().answer = true;
          kernel.add(e.ask());
        }
      }
    }
  }

  private void come(Ask ask) {
    kernel.add(ask);
    event(ask.sentMs + plan.patienceMs(), ask, LEAVES);
  }

  private void event(double atMs, Ask ask, int what) {
    events.add(new Event(atMs, order++, ask, what));
  }

  /**
   * This try is over without an answer of a server; the client tries once more, or has had enough.
   */
  private void again(Ask ask, double atMs) {
    ask.over = true;
    if (ask.tries < plan.retries()) {
      event(atMs, new Ask(ask.kind, ask.tries + 1, ask.firstMs, atMs), COMES);
    }
  }

  private void work(Ask ask) {
    if (ask.answer) {
      spend(plan.servedMs() / 2);
      answered(ask);
      return;
    }
    double began = now;
    double advice = -1;
    double excess = budget == null ? 0 : budget.rejectionRatio(now);
    if (excess > 0) {
      advice = gate.turnAway(now, ask, budget.queueDelayMs(now), excess);
    }
    if (advice >= 0) {
      spend(plan.refusedMs());
      budget.recordRejected(now - began);
      Second second = second(now);
      if (second != null) {
        second.refusals++;
      }
      if (!ask.over) {
        again(ask, now + (random.nextDouble() < plan.honours() ? advice : 1));
      }
      return;
    }
    if (budget != null) {
      budget.recordAdmitted();
    }
    spend(plan.servedMs() / 2);
    event(now + plan.serverMs(), ask, ANSWER);
  }

  private void answered(Ask ask) {
    Second second = second(ask.firstMs);
    if (ask.over || second == null) {
      return;
    }
    ask.over = true;
    if (now - ask.firstMs <= plan.aimMs()) {
      second.inTime++;
      second.rareInTime += ask.kind;
    } else {
      second.late++;
    }
  }

  /** Processor time: it takes longer where only part of it is to be had. */
  private void spend(double ms) {
    boolean slow = now >= plan.slowFrom() && now < plan.slowTo();
    double took = ms / (slow ? plan.slowSpeed() : 1);
    ranMs += ms;
    now = awake(now + took);
    if ((long) (now / PERIOD_MS) != period) {
      period = (long) (now / PERIOD_MS);
      ranInPeriodMs = 0;
    }
    ranInPeriodMs += took;
    if (ranInPeriodMs >= plan.share() * PERIOD_MS && plan.share() < 1) {
      now = awake((period + 1) * PERIOD_MS);
    }
  }

  /** A time at which the process runs: nothing of it does while it is stopped. */
  private double awake(double ms) {
    return ms >= plan.stopFrom() && ms < plan.stopTo() ? plan.stopTo() : ms;
  }

  private Second second(double ms) {
    return ms < seconds.size() * 1000.0 ? seconds.get((int) (ms / 1000)) : null;
  }
}
