package cacheproxy.model;

import cacheproxy.fleet.LinkFaults;
import cacheproxy.routing.RoutingApi.QuotaResult;
import cacheproxy.shared.HealthVerdicts;
import cacheproxy.shared.SharedState;
import cacheproxy.shared.SharedStateHost;
import cacheproxy.shared.SharedStateSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/**
 * A tier of the real rules of {@link SharedState} in virtual time, in front of nodes that go, come
 * back, start cold or have no place, with requests by chance and a module that decides as little as
 * is needed: it sends, passes over for a while what an attempt of its own has shown out of reach,
 * and asks what is shared. Datagrams come late, twice, an hour after or not at all. Knows the truth
 * and counts against it. Deterministic by its seed; times in milliseconds.
 */
public final class SharedModel {
  /** Whether the way from one to another is cut. */
  public interface Cut {
    boolean cuts(int from, int to);
  }

  /** Called for a datagram that a proxy sends: what goes in its place; null: nothing. */
  public interface Liar {
    byte[] says(int from, int to, byte[] message);
  }

  /**
   * @param perS requests a second to one proxy, over all nodes alike
   * @param sharing false: each is on its own, as without all of this
   */
  public record Plan(int proxies, int nodes, int zones, double perS, long seed, boolean sharing) {}

  private static final double LEAST_DELAY_MS = 1;
  private static final double MEAN_DELAY_MS = 8;
  private static final double CONNECT_MS = 250;
  private static final double SHUN_MS = 10 * CONNECT_MS;
  private static final double ANSWER_MS = 5;
  private static final double WARM_UP_MS = 9000;
  private static final double START_CAPACITY = 0.3;
  private static final double TIP = 3;
  private static final double FALL_MS = 1500;

  private enum What {
    TICK,
    DATAGRAM,
    REQUEST,
    END
  }

  private record Event(
      double atMs,
      long order,
      What what,
      int proxy,
      int life,
      int with,
      double sentMs,
      byte[] message) {}

  private final Plan plan;
  private final Set<SharedState.Safeguard> without;
  private final HealthVerdicts.Safeguard[] withoutOfThem;
  private final SplittableRandom lots;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private final SharedState[] states;
  private final int[] lives;
  private final double[] pausedUntil;
  private final double[] load;
  private final boolean[] cutFromNodes;

  /** By proxy and node: passed over by its own attempts until; how often in a row. */
  private final double[][] shunned;

  private final int[][] failures;
  private final boolean[][] lostHere;
  private final boolean[] down;
  private final double[] backMs;
  private final double[] bornMs;
  private final boolean[] noPlace;

  /** How much more it is asked for than others. */
  private final double[] wanted;

  private final List<ArrayDeque<Double>> coldSends = new ArrayList<>();
  private double now;
  private long order;
  private final LinkFaults wire;
  private double hourLate;
  private Liar liar = (from, to, message) -> message;
  private long sent;
  private long lostAttempts;
  private long passedOver;
  private long wrongly;
  private long coldSent;
  private double worstCold;
  private double coldMayBe;
  private final double[] usedMs;

  public SharedModel(
      Plan plan, Set<SharedState.Safeguard> without, HealthVerdicts.Safeguard... withoutOfThem) {
    this.plan = plan;
    this.without = without;
    this.withoutOfThem = withoutOfThem;
    lots = new SplittableRandom(plan.seed());
    wire = new LinkFaults(plan.proxies(), lots.nextLong());
    wire(0, 0, 0);
    states = new SharedState[plan.proxies()];
    lives = new int[plan.proxies()];
    pausedUntil = new double[plan.proxies()];
    load = new double[plan.proxies()];
    cutFromNodes = new boolean[plan.proxies()];
    shunned = new double[plan.proxies()][plan.nodes()];
    failures = new int[plan.proxies()][plan.nodes()];
    lostHere = new boolean[plan.proxies()][plan.nodes()];
    down = new boolean[plan.nodes()];
    backMs = new double[plan.nodes()];
    bornMs = new double[plan.nodes()];
    noPlace = new boolean[plan.nodes()];
    wanted = new double[plan.nodes()];
    Arrays.fill(wanted, 1);
    usedMs = new double[plan.nodes()];
    Arrays.fill(bornMs, Double.NEGATIVE_INFINITY);
    Arrays.fill(load, plan.perS());
    for (int n = 0; n < plan.nodes(); n++) {
      coldSends.add(new ArrayDeque<>());
    }
    for (int p = 0; p < plan.proxies(); p++) {
      start(p);
    }
  }

  public static SharedModel of(Plan plan) {
    return new SharedModel(plan, EnumSet.noneOf(SharedState.Safeguard.class));
  }

  // ---- faults

  /** Starts it, or starts it again with nothing of before. */
  public void start(int p) {
    int life = ++lives[p];
    Arrays.fill(shunned[p], 0);
    Arrays.fill(failures[p], 0);
    states[p] = null;
    if (plan.sharing()) {
      states[p] =
          new SharedState(
              new SharedStateSettings(
                  plan.proxies(),
                  p,
                  zoneOfProxy(p),
                  TIP,
                  FALL_MS,
                  SharedStateSettings.DEFAULT_BYTES_PER_SECOND,
                  true,
                  true),
              lots.nextLong(),
              now,
              new SharedStateHost() {
                @Override
                public void send(int proxy, byte[] message) {
                  post(p, proxy, liar.says(p, proxy, message));
                }

                @Override
                public boolean isPresent(int proxy) {
                  return lives[proxy] > 0;
                }

                @Override
                public int presentCount() {
                  return (int) IntStream.of(lives).filter(l -> l > 0).count();
                }

                @Override
                public void wakeUpBy(double atMs) {
                  at(atMs, What.TICK, p, life, 0, 0, null);
                }

                @Override
                public void verdictReceived(int node, boolean out) {
                  if (!out) {
                    shunned[p][node] = failures[p][node] = 0;
                  }
                }

                @Override
                public void verdictChanged(double at, int node, boolean out, String cause) {}
              },
              without,
              withoutOfThem);
      states[p].setEndpoints(
          IntStream.range(0, plan.nodes()).toArray(),
          IntStream.range(0, plan.nodes()).map(this::zoneOf).toArray());
      at(states[p].nextTickMs(), What.TICK, p, life, 0, 0, null);
    }
    at(now + gap(p), What.REQUEST, p, life, 0, 0, null);
  }

  public void kill(int p) {
    lives[p] = -Math.abs(lives[p]);
  }

  /** Starts one that was killed. */
  public void startAgain(int p) {
    lives[p] = Math.abs(lives[p]);
    start(p);
  }

  public void pause(int p, double forMs) {
    pausedUntil[p] = now + forMs;
  }

  public void load(int p, double perS) {
    load[p] = perS;
  }

  public SharedModel wire(double lost, double doubled, double lateByAnHour) {
    wire.setQuality(new LinkFaults.Quality(lost, LEAST_DELAY_MS, MEAN_DELAY_MS, doubled));
    hourLate = lateByAnHour;
    return this;
  }

  public SharedModel cut(Cut by) {
    for (int from = 0; from < plan.proxies(); from++) {
      for (int to = 0; to < plan.proxies(); to++) {
        wire.setBlocked(from, to, by.cuts(from, to));
      }
    }
    return this;
  }

  public SharedModel liar(Liar by) {
    liar = by;
    return this;
  }

  /** Its attempts reach no node, and those of others do. */
  public void cutFromNodes(int p, boolean is) {
    cutFromNodes[p] = is;
  }

  public void down(int node) {
    down[node] = true;
    usedMs[node] = Double.NaN;
    for (boolean[] of : lostHere) {
      of[node] = false;
    }
  }

  /**
   * @param cold with nothing in it, to be warmed up
   */
  public void up(int node, boolean cold) {
    down[node] = false;
    backMs[node] = now;
    bornMs[node] = cold ? now : Double.NEGATIVE_INFINITY;
    coldSends.get(node).clear();
  }

  /** From now on it is asked for so many times as much as another. */
  public void wanted(int node, double factor) {
    wanted[node] = factor;
  }

  public void noPlace(int node, boolean is) {
    noPlace[node] = is;
  }

  // ---- the world

  public int zoneOf(int node) {
    return node % plan.zones();
  }

  public int zoneOfProxy(int p) {
    return p % plan.zones();
  }

  private void at(
      double ms, What what, int proxy, int life, int with, double sentMs, byte[] message) {
    events.add(new Event(ms, order++, what, proxy, life, with, sentMs, message));
  }

  private double gap(int p) {
    return load[p] <= 0 ? 1000 : -Math.log(1 - lots.nextDouble()) * 1000 / load[p];
  }

  private void post(int from, int to, byte[] message) {
    if (message == null) {
      return;
    }
    for (double delay : wire.arrivalDelaysMs(from, to, message.length)) {
      double late =
          lots.nextDouble() < hourLate
              ? 3_600_000 * lots.nextDouble() * lots.nextDouble() * lots.nextDouble()
              : 0;
      at(now + delay + late, What.DATAGRAM, to, 0, from, 0, message);
    }
  }

  /** Lets time pass. */
  public SharedModel run(double forMs) {
    double end = now + forMs;
    while (!events.isEmpty() && events.peek().atMs <= end) {
      Event e = events.poll();
      now = Math.max(now, e.atMs);
      boolean there = lives[e.proxy] > 0 && (e.what == What.DATAGRAM || e.life == lives[e.proxy]);
      if (there
          && now < pausedUntil[e.proxy]) { // all that was due is there as it wakes, in its order
        events.add(
            new Event(
                pausedUntil[e.proxy],
                e.order,
                e.what,
                e.proxy,
                e.life,
                e.with,
                e.sentMs,
                e.message));
      } else if (there) {
        happens(e);
      }
    }
    now = end;
    return this;
  }

  private void happens(Event e) {
    switch (e.what) {
      case TICK -> {
        SharedState s = states[e.proxy];
        if (now >= s.nextTickMs() - 1e-6) {
          s.tick(now);
          at(s.nextTickMs(), What.TICK, e.proxy, e.life, 0, 0, null);
        }
      }
      case DATAGRAM -> {
        if (states[e.proxy] != null) {
          states[e.proxy].receive(now, e.with, e.message);
        }
      }
      case REQUEST -> {
        if (load[e.proxy] > 0) {
          request(e.proxy, draw());
        }
        at(now + gap(e.proxy), What.REQUEST, e.proxy, e.life, 0, 0, null);
      }
      case END -> ended(e.proxy, e.with, e.sentMs);
      default -> throw new IllegalStateException();
    }
  }

  private int draw() {
    double sum = 0;
    for (double w : wanted) {
      sum += w;
    }
    double at = lots.nextDouble() * sum;
    int node = 0;
    while (node < wanted.length - 1 && at >= wanted[node]) {
      at -= wanted[node++];
    }
    return node;
  }

  private boolean cold(int node) {
    return now - bornMs[node] < WARM_UP_MS;
  }

  private void request(int p, int node) {
    if (now < shunned[p][node]) {
      return;
    }
    if (states[p] != null && states[p].isEjected(now, node, true)) {
      passedOver++;
      wrongly += down[node] || noPlace[node] || cutFromNodes[p] ? 0 : 1;
      return;
    }
    if (cold(node)) {
      double capacity = START_CAPACITY + (1 - START_CAPACITY) * (now - bornMs[node]) / WARM_UP_MS;
      int warm = (int) IntStream.range(0, plan.nodes()).filter(n -> !cold(n)).count();
      coldMayBe += 1;
      if (states[p] != null
          && states[p].spendSlowStartQuota(now, node, 0, capacity, warm) != QuotaResult.SPENT) {
        return;
      }
    }
    sent++;
    boolean fails = down[node] || cutFromNodes[p];
    if (!fails && cold(node)) {
      coldArrives(node);
    }
    at(
        now + (fails ? CONNECT_MS : ANSWER_MS),
        What.END,
        p,
        lives[p],
        fails ? -1 - node : node,
        now,
        null);
  }

  /**
   * As the site's own guard: what all sent within the window, against a multiple of what it can do.
   */
  private void coldArrives(int node) {
    coldSent++;
    ArrayDeque<Double> window = coldSends.get(node);
    window.add(now);
    while (window.peek() < now - FALL_MS) {
      window.poll();
    }
    double allowed = TIP * mayHave(node) * FALL_MS / 1000;
    worstCold = Math.max(worstCold, window.size() / (allowed + 3 * Math.sqrt(allowed) + 3));
  }

  /**
   * Requests a second that a cold node can take: a part, by its age, of what a warm one has on the
   * mean.
   */
  private double mayHave(int node) {
    double warmLoad = 0;
    int warm = 0;
    double sum = DoubleStream.of(wanted).sum();
    for (int n = 0; n < plan.nodes(); n++) {
      warmLoad += cold(n) ? 0 : wanted[n] / sum;
      warm += cold(n) ? 0 : 1;
    }
    double all =
        IntStream.range(0, plan.proxies())
            .filter(p -> lives[p] > 0)
            .mapToDouble(p -> load[p])
            .sum();
    return (START_CAPACITY + (1 - START_CAPACITY) * (now - bornMs[node]) / WARM_UP_MS)
        * all
        * warmLoad
        / Math.max(1, warm);
  }

  /**
   * Of what a node that has been cold for so long could take since it started, requests at a pace
   * of one.
   */
  public double couldHave(int node, double forMs) {
    return mayHave(node) * forMs / 1000;
  }

  private void ended(int p, int which, double sentMs) {
    if (which >= 0) {
      if (noPlace[which]) {
        shunned[p][which] = now + 2000;
        if (states[p] != null) {
          states[p].reportNoConnectionSlot(now, which, 2000);
        }
        return;
      }
      failures[p][which] = 0;
      usedMs[which] =
          Double.isNaN(usedMs[which]) || usedMs[which] < backMs[which] ? now : usedMs[which];
      if (states[p] != null) {
        states[p].reportAnswer(now, which, sentMs, cold(which) ? -1 : 0);
      }
      return;
    }
    int node = -1 - which;
    lostAttempts++;
    lostHere[p][node] = true;
    double forMs = SHUN_MS * (1 << Math.min(failures[p][node]++, 3));
    shunned[p][node] = now + forMs;
    if (states[p] != null) {
      states[p].reportEjection(now, node, sentMs, forMs);
    }
  }

  // ---- the truth and what is believed

  /** How many proxies pass a node over, by their own attempts or by others' word. */
  public int passOver(int node) {
    return (int)
        IntStream.range(0, plan.proxies())
            .filter(
                p ->
                    lives[p] > 0
                        && (now < shunned[p][node]
                            || states[p] != null && states[p].isExcluded(node)))
            .count();
  }

  /** How many it is out for by others' word. */
  public int outFor(int node) {
    return (int)
        IntStream.range(0, plan.proxies())
            .filter(p -> lives[p] > 0 && states[p] != null && states[p].isExcluded(node))
            .count();
  }

  /** How many proxies have lost an attempt of their own at this node since it went. */
  public int lostAt(int node) {
    return (int) IntStream.range(0, plan.proxies()).filter(p -> lostHere[p][node]).count();
  }

  public SharedState state(int p) {
    return states[p];
  }

  public double nowMs() {
    return now;
  }

  /** When somebody first had an answer of it since it went; NaN: nobody has. */
  public double usedMs(int node) {
    return usedMs[node];
  }

  public long lostAttempts() {
    return lostAttempts;
  }

  /** Requests that others' word kept from a node that was well. */
  public long wrongly() {
    return wrongly;
  }

  public long passedOver() {
    return passedOver;
  }

  public long coldSent() {
    return coldSent;
  }

  /** Requests that were for a cold node, sent there or not. */
  public double coldWanted() {
    return coldMayBe;
  }

  /** The most that a cold node was sent within the window, as a part of what makes it fall. */
  public double worstCold() {
    return worstCold;
  }

  public long bytes(int p) {
    return wire.bytesSent(p);
  }

  public long sent() {
    return sent;
  }
}
