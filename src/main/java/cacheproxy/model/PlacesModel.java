package cacheproxy.model;

import cacheproxy.routing.Policy;
import cacheproxy.routing.RoutingApi;
import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.ListKind;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Request;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many instances of the decision module in virtual time, with cache nodes that take fewer
 * connections than there are instances. One connection for an instance and a node, kept once it is
 * had; a node without a place turns the request away, and what is told of that to the module is the
 * model's one switch. Nodes have no queues and all the time they need: what is counted here is what
 * the want of places alone costs, or the loss of a zone. Deterministic by its seed. Times in
 * milliseconds.
 */
public final class PlacesModel {
  private static final int KEYS = 4000;
  private static final double SERVE_MS = 40;
  private static final double REFUSE_MS = 6;
  private static final double FETCH_MS = 60;
  private static final double DEADLINE_MS = 1000;
  private static final int ORIGIN = 1 << 20;
  private static final int ZONES = 4;

  /** What it came to, over all instances. */
  public static final class Counts {
    public int requests;

    /** Attempts that found no place. */
    public int refused;

    /**
     * Reads that the origin was asked for, and those of them whose key no node had been asked for
     * in vain.
     */
    public int fetches;

    public int fetchesForWantOfAPlace;

    /**
     * Final answers: served, refused or failed; more or fewer than one for a request is a breach.
     */
    public int answers;

    public int denied;

    /**
     * Of those that came while a zone was lost: how many, and how many of them were served within
     * their aim.
     */
    public int duringLoss;

    public int inTimeDuringLoss;

    /** Attempts that were sent to a node that said nothing. */
    public int intoSilence;

    /** Datagrams that instances sent to all others. */
    public int told;
  }

  private record Event(double at, long order, Runnable task) {}

  private static final class Node {
    /** Where it is, whatever the settings say of zones. */
    final int zone;

    final Set<Long> keys = new HashSet<>();
    final Set<Integer> holders = new HashSet<>();
    double stallsFrom;

    Node(int zone) {
      this.zone = zone;
    }
  }

  private final Settings settings;
  private final int places;
  private final boolean told;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at()
                  ? Double.compare(a.at(), b.at())
                  : Long.compare(a.order(), b.order()));
  private final List<Node> nodes = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Counts counts = new Counts();
  private double now;
  private long order;
  private int lost = -1;
  private double lostFrom;
  private double lostUntil;
  private double stallEvery;
  private double stallMs;

  /**
   * @param settings of the aside mode, with the origin's kind
   * @param told whether the module is told that a node had no place; else it hears of a full node
   */
  public PlacesModel(
      Settings settings, int instances, int nodes, int places, boolean told, long seed) {
    this.settings = settings;
    this.places = places;
    this.told = told;
    random = new SplittableRandom(seed);
    for (int n = 0; n < nodes; n++) {
      this.nodes.add(new Node(n % ZONES));
    }
    for (int i = 0; i < instances; i++) {
      this.instances.add(new Instance(i));
    }
  }

  public Counts counts() {
    return counts;
  }

  /** Each instance is asked so often in a second, until this time. */
  public void run(double untilMs, double perSecond) {
    for (Instance i : instances) {
      i.asks(untilMs, 1000 / perSecond);
    }
    for (Event e; (e = events.peek()) != null && e.at() <= untilMs + 2 * DEADLINE_MS; ) {
      events.poll();
      now = e.at();
      e.task().run();
    }
  }

  /** Kills the first so many instances at this time; they are back at once and know nothing. */
  public void restart(double atMs, int first) {
    at(atMs - now, () -> instances.subList(0, first).forEach(Instance::restart));
  }

  /**
   * All nodes of a zone say nothing for this time: connections that are open stay open, new ones
   * don't come up. Who had sent them a request hears nothing of it before the request's time is up.
   */
  public void lose(int zone, double fromMs, double untilMs) {
    lost = zone;
    lostFrom = fromMs;
    lostUntil = untilMs;
  }

  /** This part of the nodes stands still for so long, each at its own time in a span. */
  public void stall(double part, double everyMs, double forMs) {
    stallEvery = everyMs;
    stallMs = forMs;
    nodes.forEach(
        n ->
            n.stallsFrom = random.nextDouble() < part ? random.nextDouble() * everyMs : Double.NaN);
  }

  private boolean silent(Node node) {
    return node.zone == lost && now >= lostFrom && now < lostUntil;
  }

  /** How long a node still stands still. */
  private double stalled(Node node) {
    double into =
        stallMs > 0 && !Double.isNaN(node.stallsFrom) ? (now - node.stallsFrom) % stallEvery : -1;
    return into >= 0 && into < stallMs ? stallMs - into : 0;
  }

  private Settings settingsOf(int me) {
    Settings s = settings;
    return new Settings(
        me,
        instances.size(),
        me % s.zones(),
        s.zones(),
        s.kinds(),
        s.pollsEndpointList(),
        s.cacheAside(),
        s.originKind(),
        s.loadReportSource(),
        s.reportNames(),
        s.weightByWork(),
        s.overQuotaWeight(),
        s.mayCancel(),
        s.mayHealthCheck(),
        s.peers(),
        s.mayHedge(),
        s.mayAdviseRetryAfter(),
        s.maxAttempts(),
        s.maxRetryAfterMs(),
        s.connectTimeoutMs(),
        s.drainGraceMs(),
        s.answerGraceMs(),
        s.startCapacity(),
        s.warmUpMs(),
        s.overloadMultiple(),
        s.overloadMs(),
        s.pollWithinMs(),
        s.originOverloadMultiple(),
        s.originOverloadMs(),
        s.classes(),
        s.tenants());
  }

  private void at(double afterMs, Runnable task) {
    events.add(new Event(now + afterMs, order++, task));
  }

  /** Zipf-like: the first keys draw a large part. */
  private long key() {
    return 1 + (long) (KEYS * Math.pow(random.nextDouble(), 4));
  }

  private final class Instance implements Actions {
    private final int me;
    private final Map<Integer, Ask> asks = new HashMap<>();
    private Policy module;
    private int life;
    private int nextId;

    Instance(int me) {
      this.me = me;
      restart();
    }

    void restart() {
      life++;
      asks.clear();
      nodes.forEach(n -> n.holders.remove(me));
      module = new Policy(settingsOf(me), random.nextLong());
      List<Member> list = new ArrayList<>();
      int kind = settings.originKind() == 0 ? 1 : 0;
      for (int n = 0; n < nodes.size(); n++) {
        list.add(
            new Member(
                n, nodes.get(n).zone % settings.zones(), kind, 0, EndpointState.READY, 1, 0));
      }
      list.add(new Member(ORIGIN, 0, settings.originKind(), 0, EndpointState.READY, 1, 0));
      module.onList(now, ListKind.CACHED, list, this);
    }

    /** What still belongs to this life of it. */
    private void later(double afterMs, Runnable task) {
      int born = life;
      at(
          afterMs,
          () -> {
            if (born == life) {
              task.run();
            }
          });
    }

    void asks(double untilMs, double everyMs) {
      at(
          -Math.log(1 - random.nextDouble()) * everyMs,
          () -> {
            if (now < untilMs) {
              int id = nextId++;
              Ask ask = new Ask(key(), now);
              counts.duringLoss += now >= lostFrom && now < lostUntil ? 1 : 0;
              asks.put(id, ask);
              counts.requests++;
              later(DEADLINE_MS + 1, () -> asks.remove(id));
              module.onRequest(
                  now,
                  new Request(id, 0, 0, ask.key, now + DEADLINE_MS, Double.NaN, 0, false, false),
                  this);
              asks(untilMs, everyMs);
            }
          });
    }

    @Override
    public void sendAttempt(int request, int server, double timeoutMs) {
      Ask ask = asks.get(request);
      int attempt = ask.attempts++;
      if (server == ORIGIN) {
        counts.fetches++;
        counts.fetchesForWantOfAPlace += ask.missedAt.isEmpty() ? 1 : 0;
        later(
            FETCH_MS,
            () -> {
              ask.missedAt.forEach(n -> n.keys.add(ask.key));
              end(request, attempt, server, Outcome.OK, 0, FETCH_MS);
            });
        return;
      }
      Node node = nodes.get(server);
      if (silent(node)) {
        counts.intoSilence++;
        boolean held = node.holders.contains(me);
        double wait = held ? ask.bornMs + DEADLINE_MS - now : settings.connectTimeoutMs();
        later(
            Math.max(0, wait),
            () ->
                end(
                    request,
                    attempt,
                    server,
                    held ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED,
                    0,
                    wait));
        return;
      }
      if (!node.holders.contains(me) && node.holders.size() >= places) {
        counts.refused++;
        later(
            REFUSE_MS,
            () ->
                end(
                    request,
                    attempt,
                    server,
                    told ? Outcome.CONNECT_FAILED : Outcome.FULL,
                    told ? RoutingApi.NOTE_NO_CONNECTION_SLOT : 0,
                    REFUSE_MS));
        return;
      }
      node.holders.add(me);
      double serveMs = SERVE_MS + stalled(node);
      later(
          serveMs,
          () -> {
            if (silent(node)) {
              later(
                  ask.bornMs + DEADLINE_MS - now,
                  () -> end(request, attempt, server, Outcome.TIMEOUT, 0, DEADLINE_MS));
              return;
            }
            boolean hit = node.keys.contains(ask.key);
            if (!hit) {
              ask.missedAt.add(node);
            }
            end(request, attempt, server, hit ? Outcome.OK : Outcome.MISS, 0, serveMs);
          });
    }

    private void end(
        int request, int attempt, int server, Outcome outcome, int note, double elapsedMs) {
      Ask ask = asks.get(request);
      if (ask == null) {
        return;
      }
      if (outcome == Outcome.OK && !ask.over) {
        boolean lossTime = ask.bornMs >= lostFrom && ask.bornMs < lostUntil;
        counts.inTimeDuringLoss +=
            lossTime && now - ask.bornMs <= settings.classes().get(0).latencyObjectiveMs() ? 1 : 0;
        answered(ask);
      }
      module.onAttemptEnd(
          now,
          new AttemptEnd(request, attempt, server, outcome, elapsedMs, ask.over, note, null),
          this);
    }

    private void answered(Ask ask) {
      ask.over = true;
      counts.answers++;
    }

    @Override
    public void reject(int request, double retryAfterMs) {
      counts.denied++;
      answered(asks.get(request));
    }

    @Override
    public void fail(int request) {
      answered(asks.get(request));
    }

    @Override
    public void setTimer(double afterMs, int token) {
      later(afterMs, () -> module.onTimer(now, token, this));
    }

    @Override
    public void cancelAttempt(int request, int attempt) {}

    @Override
    public void startHealthCheck(int server) {}

    @Override
    public void closeIdleConnections(int server) {}

    /** Each copy takes 3.6 to 30 ms, and one in five is lost. */
    @Override
    public void sendToPeer(int peer, byte[] message) {
      counts.told++;
      for (Instance other : instances) {
        if (other != this && random.nextDouble() < 0.8) {
          other.later(
              3.6 + 26.4 * random.nextDouble(),
              () -> other.module.onPeerMessage(now, me, message, other));
        }
      }
    }

    @Override
    public void watchEndpointList(boolean on) {}

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {}
  }

  private static final class Ask {
    final long key;
    final double bornMs;
    final Set<Node> missedAt = new HashSet<>();
    int attempts;
    boolean over;

    Ask(long key, double bornMs) {
      this.key = key;
      this.bornMs = bornMs;
    }
  }
}
