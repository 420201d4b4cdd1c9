package cacheproxy.routing;

import java.util.*;
import java.util.function.Predicate;

/**
 * The decisions of one balancer instance. Types, events and actions: RoutingApi.java; hashes and
 * ranking: Carp.java. CARP's top score takes each request; what departs from it says at its place
 * when it acts and what it guards.
 */
public final class Policy implements RoutingApi {
  /** What a timer is for: the low bits of its token. */
  private static final int DUE = 0, PATIENCE = 1, AGAIN = 2, WATCH = 3;

  /** Cache servers tried for a request: the draft's winner and runner-up. */
  private static final int CACHE_TRIES = 2;

  /**
   * Part of the requests that may be sent to the runner-up on suspicion alone, and how many may be
   * saved up.
   */
  private static final double DOUBT_SHARE = 0.05;

  private static final double DOUBT_SAVED = 5;

  /**
   * A cold server is sent its part of what the warm ones of its kind answer, at most; this many may
   * be saved up. Guards it however large its set of keys is and however much is asked again; a
   * fixed half of its ramp, less the more was asked, left it idle while warm ones turned requests
   * away.
   */
  private static final double COLD_SAVED = 2;

  /**
   * While no warm one has answered, it takes this part less than it could: it may have more keys.
   */
  private static final double COLD_MARGIN = 2;

  /** Answers of warm servers are counted over about this time. */
  private static final double ANSWERS_MS = 2000;

  /** Ranks kept per request: with half the fleet lost, all eight are down for one key in 256. */
  private static final int RANKS = 8;

  /**
   * A server out of reach is tried again after this many connect time-outs, doubled at each
   * failure.
   */
  private static final int SHUN_CONNECTS = 10;

  /**
   * Connections that break in a row, with no answer between, until a server counts as out of reach.
   * Guards against breaks that come from the way or from kept connections closed at the other end:
   * on days on which each server loses one attempt in ten, shunning it each time leaves none in
   * reach, moves all keys and floods the origin. Should also guard against tables of connections
   * that overflow at times. Harm: of a server that is gone this many requests see a refused
   * connection, not one, before the runner-up.
   */
  private static final int BREAKS = 3;

  /**
   * A server that had no place for a connection is not asked for one again for so long, up to four
   * times as long the more often that is so. Guards against a fleet whose servers take fewer
   * connections than there are proxies: each new try costs the server a handshake and the request
   * an attempt, and who asks for both ranks in vain ends at the origin. Harm: a place that comes
   * free is found that much later; its keys are kept by their runner-up meanwhile.
   */
  private static final double NO_PLACE_MS = 2000;

  /**
   * Signs of silence from a zone, at two of its servers or more, with answers from others and none
   * from it between, after which all of it is out of reach: a connection that never comes up is
   * two, an overdue answer or a peer of this zone that says so one. Guards against a lost zone of
   * which each proxy, with a request in some seconds for each server, would learn server by server.
   * Should also guard a proxy whose own zone is cut off. Harm: a zone that all stands still for a
   * moment loses its keys for a while.
   */
  private static final int ZONE_SIGNS = 4;

  /** Signs that are older than so many connect time-outs say nothing of now. */
  private static final int SIGNS_CONNECTS = 20;

  /**
   * Of a message between instances: what it is, the teller's zone, the zone that is silent for it.
   */
  private static final byte ZONE_SILENT = 'Z';

  private final Settings cfg;
  private final SplittableRandom random;
  private final Map<Integer, Server> servers = new HashMap<>();
  private final Map<Integer, InFlightRequest> flights = new HashMap<>();
  private final Map<Integer, InFlightRequest> timers = new HashMap<>();
  private final Map<Long, InFlightRequest> fetches = new HashMap<>();
  private final HotKeys hot = new HotKeys();
  private final AdaptiveThrottle throttle = new AdaptiveThrottle();
  private final AdaptiveThrottle crowd = new AdaptiveThrottle();

  /** What comes to this instance: whose part is too much for its processor. */
  private final AdaptiveThrottle door = new AdaptiveThrottle();

  private final PriorityLevels ranks;
  private final TenantQuotas shares;

  /** Taken out by hand, by id, with the time at which. */
  private final Map<Integer, Double> byHand = new HashMap<>();

  private final Zone[] zones;

  /** Null: each instance is on its own. */
  private Tier tier;

  private Server[] ranked = new Server[0];
  private Server[] top = new Server[RANKS];
  private double[] topScore = new double[RANKS];
  private int topCount;
  private Server origin;
  private double fetchMs;
  private double usualCost;
  private double pace;
  private double paceDeviation;

  /** As {@link #warmRate} last found. */
  private int warmOnes;

  private double doubts = DOUBT_SAVED;
  private double trials = 1;

  /** When a safe read last looked for a server. */
  private double safeReadMs = Double.NEGATIVE_INFINITY;

  private int nextToken;
  private boolean watching;
  private boolean asking;
  private int watchFailures;

  /** One server of the list and what this instance has seen of it. */
  private static final class Server {
    final int id;
    final int hash;
    Member member;
    float multiplier;
    double share;
    int failures;

    /** Connections that broke since its last answer. */
    int breaks;

    double shunnedUntil;

    /**
     * How often in a row it had no place for a connection, and until when it is not asked for one.
     */
    int noPlace;

    double noPlaceUntil;
    int doubts;
    boolean trial;
    boolean probed;

    /**
     * Answers lately, fading; what a cold one may still be sent, and when that was last looked at.
     */
    double answers;

    double answersAt;
    double allowed = COLD_SAVED;
    double allowedAt;

    /** When it was last taken out by hand and when it came back; 0: never. */
    double outMs;

    double backMs;

    /**
     * Of the origin's kind; the one in use is {@link Policy#origin}, others may have attempts out.
     */
    boolean ofOrigin;

    Server(int id) {
      this.id = id;
      this.hash = Carp.memberHash(id);
    }
  }

  /** What this instance has lately not heard of a zone. */
  private static final class Zone {
    int signs, failures;

    /** The server that the signs are of; -1: of several. */
    int silent;

    double since, signAt, outUntil, heardAt = Double.NEGATIVE_INFINITY;
  }

  /** A request the instance holds, with its attempts. */
  private final class InFlightRequest {
    final Request request;
    final ServiceClass kind;
    final boolean safe;
    final double arrivedMs;
    final int keyHash;
    final Server[] at = new Server[cfg.maxAttempts()];
    final double[] sentAt = new double[cfg.maxAttempts()];
    final boolean[] ended = new boolean[cfg.maxAttempts()];
    int spread = 1;
    int seen = 1;
    int attempts;
    int out;
    boolean done;
    boolean streaming;
    boolean toOrigin;
    boolean waiting;
    boolean doubted;
    Server missedAt;

    /** Where the last attempt failed with the server in reach: the next stays there. */
    Server stayAt;

    double maybeRanSince = Double.NaN;
    Server maybeRanAt;

    /** Those who wait for this request's fetch; null while it has none out. */
    ArrayDeque<InFlightRequest> followers;

    /** The attempt that is the fetch. */
    int fetch;

    InFlightRequest(Request request, double now) {
      this.request = request;
      arrivedMs = now - request.waitedMs();
      kind = cfg.classes().get(request.serviceClass());
      safe = kind.effect() == Effect.IDEMPOTENT;
      keyHash =
          Carp.keyHash(request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id()));
    }

    /** The work hinted at, in units of the usual; 1 where there is no hint. */
    double work() {
      return request.costMs() > 0 && usualCost > 0 ? request.costMs() / usualCost : 1;
    }
  }

  /** Whether to refuse this one where a part of all must be refused. */
  private boolean refused(
      double now, boolean retry, int tenant, AdaptiveThrottle by, double excess) {
    double part = by.refuse(now, retry, excess);
    if (excess <= 0) {
      return false;
    }
    return random.nextDouble() < (shares == null ? part : shares.refuse(tenant, excess));
  }

  private boolean refused(double now, InFlightRequest f, AdaptiveThrottle by, double excess) {
    return refused(now, f.request.retry(), f.request.tenant(), by, excess);
  }

  @Override
  public double rejectForOverload(double now, RequestSummary g, double excess) {
    int rank = ranks.of(g, pace);
    ranks.asked(now, rank);
    // Who has no time left for a server's usual answer only takes the time of others.
    boolean hopeless = g.waitedMs() + pace > g.timeBudgetMs();
    double part = excess > 0 ? ranks.refuse(rank, excess) : 0;
    if (!hopeless && !refused(now, g.retry(), g.tenant(), door, part)) {
      return ADMITTED;
    }
    if (shares != null) {
      shares.asked(now, g.tenant()); // who is taken is counted with its request
    }
    if (!cfg.mayAdviseRetryAfter()) {
      return 0;
    }
    return cfg.maxRetryAfterMs() * Math.min(1, 2 * excess) * (0.5 + random.nextDouble() / 2);
  }

  /** A fresh instance that knows nothing yet. */
  public Policy(Settings settings, long seed) {
    cfg = settings;
    random = new SplittableRandom(seed);
    zones = new Zone[settings.zones()];
    Arrays.setAll(zones, z -> new Zone());
    ranks = new PriorityLevels(settings.classes());
    boolean shared = settings.overQuotaWeight() < 1 && settings.tenants().size() > 1;
    shares = shared ? new TenantQuotas(settings.tenants()) : null;
    double shortestAim =
        settings.classes().stream()
            .mapToDouble(ServiceClass::latencyObjectiveMs)
            .min()
            .orElseThrow(() -> new IllegalArgumentException("settings name no class"));
    fetchMs = shortestAim / 4;
    pace = shortestAim / 8;
    paceDeviation = pace;
    if (settings.maxAttempts() < 1) {
      throw new IllegalArgumentException("max attempts " + settings.maxAttempts());
    }
  }

  // ---- the list

  @Override
  public void onList(double now, ListKind kind, List<Member> members, Actions out) {
    if (kind == ListKind.FAILED) {
      watching = false;
      asking = false;
      askAgain(out);
      return;
    }
    if (kind == ListKind.CACHED && cfg.pollsEndpointList()) {
      // The list service is small: all instances starting together must not call at once.
      double span = Math.min(cfg.pollWithinMs() / 2, cfg.instances() * cfg.connectTimeoutMs() / 2);
      timer(random.nextDouble() * span, WATCH, null, out);
    } else if (asking) {
      asking = false;
      watching = true;
      watchFailures = 0;
    }
    check(members);
    if (kind != ListKind.CHANGES) {
      Set<Integer> named = new HashSet<>();
      members.forEach(m -> named.add(m.id()));
      servers.values().removeIf(s -> !named.contains(s.id));
    }
    for (Member m : members) {
      if (m.state() == State.GONE) {
        servers.remove(m.id());
        continue;
      }
      Server s = servers.computeIfAbsent(m.id(), Server::new);
      if (s.member != null && s.member.startedMs() != m.startedMs()) {
        s.failures = s.breaks = 0;
        s.shunnedUntil = 0;
      }
      s.member = m;
      s.ofOrigin = cfg.cacheAside() && m.kind() == cfg.originKind();
    }
    rank();
  }

  private void check(List<Member> members) {
    Set<Integer> seen = new HashSet<>();
    for (Member m : members) {
      String id = Integer.toUnsignedString(m.id());
      if (!seen.add(m.id())) {
        throw new IllegalArgumentException("member " + id + " is listed twice");
      }
      if (!(m.weight() >= 0) || Float.isInfinite(m.weight())) {
        throw new IllegalArgumentException("member " + id + " has weight " + m.weight());
      }
      if (m.zone() < 0 || m.zone() >= cfg.zones() || m.kind() < 0 || m.kind() >= cfg.kinds()) {
        throw new IllegalArgumentException(
            "member " + id + ": zone " + m.zone() + ", kind " + m.kind());
      }
    }
  }

  private void rank() {
    origin = null;
    List<Server> list = new ArrayList<>();
    for (Server s : servers.values()) {
      if (s.member.state() != State.READY || byHand.containsKey(s.id)) {
        continue;
      }
      if (s.ofOrigin) {
        origin = s;
      } else {
        list.add(s);
      }
    }
    list.sort((a, b) -> Integer.compareUnsigned(a.id, b.id));
    ranked = list.toArray(new Server[0]);
    float[] weights = new float[ranked.length];
    double sum = 0;
    for (int i = 0; i < ranked.length; i++) {
      weights[i] = ranked[i].member.weight();
      sum += weights[i];
    }
    float[] x = Carp.multipliers(weights);
    for (int i = 0; i < ranked.length; i++) {
      ranked[i].multiplier = x[i];
      ranked[i].share = sum > 0 ? weights[i] / sum : 1.0 / ranked.length;
    }
    if (tier != null) {
      tier.listed(
          list.stream().mapToInt(s -> s.id).toArray(),
          list.stream().mapToInt(s -> s.member.zone()).toArray());
    }
  }

  @Override
  public void useTier(Tier with) {
    tier = with;
    rank();
  }

  @Override
  public void onGossipedHealth(double now, int server, boolean isOut, Actions orders) {
    Server s = servers.get(server);
    if (s != null && !isOut) {
      s.failures = s.breaks = s.doubts = 0;
      s.shunnedUntil = 0;
    } else if (s != null && cfg.mayHedge()) {
      elsewhere(now, at -> at == s, orders);
    }
  }

  /**
   * What waits there goes to its runner-up too: these copies are no waste, and each request has
   * one.
   */
  private void elsewhere(double now, Predicate<Server> where, Actions out) {
    for (InFlightRequest f : List.copyOf(flights.values())) {
      int a = f.attempts - 1;
      if (a >= 0 && f.safe && !f.ended[a] && !f.at[a].ofOrigin && where.test(f.at[a])) {
        advance(now, f, out);
      }
    }
  }

  @Override
  public void onManualEjection(double now, int server, boolean out, Actions orders) {
    Server s = servers.get(server);
    Double since = byHand.get(server);
    if (out && since == null) {
      byHand.put(server, now);
      orders.closeIdle(server);
    } else if (!out && since != null) {
      byHand.remove(server);
      if (s != null) {
        s.outMs = since;
        s.backMs = now;
        s.failures = s.breaks = s.doubts = 0;
        s.shunnedUntil = 0;
      }
    }
    rank();
  }

  @Override
  public EndpointCounts endpointCounts(double now) {
    int listed = 0;
    int unavailable = 0;
    for (Server s : servers.values()) {
      if (!s.ofOrigin) {
        listed++;
        boolean out = s.member.state() != State.READY || byHand.containsKey(s.id);
        unavailable += out || now < s.shunnedUntil ? 1 : 0;
      }
    }
    return new EndpointCounts(listed, unavailable);
  }

  private void askAgain(Actions out) {
    watchFailures++;
    double wait = cfg.pollWithinMs() / 16 * (1 << Math.min(watchFailures, 3));
    timer(wait * (0.5 + random.nextDouble() / 2), WATCH, null, out);
  }

  // ---- requests

  @Override
  public void onRequest(double now, Request request, Actions out) {
    if (request.serviceClass() < 0 || request.serviceClass() >= cfg.classes().size()) {
      throw new IllegalArgumentException(
          "class " + request.serviceClass() + " is not in the settings");
    }
    if (request.tenant() < 0 || request.tenant() > 0 && request.tenant() >= cfg.tenants().size()) {
      throw new IllegalArgumentException("tenant " + request.tenant() + " is not in the settings");
    }
    if (request.costMs() > 0) {
      usualCost += (request.costMs() - usualCost) / (usualCost > 0 ? 32 : 1);
    }
    if (shares != null) {
      shares.asked(now, request.tenant());
    }
    trials = Math.min(1, trials + DOUBT_SHARE);
    InFlightRequest f = new InFlightRequest(request, now);
    flights.put(request.id(), f);
    timer(Math.max(0, request.deadlineMs() - now), DUE, f, out);
    f.toOrigin = cfg.cacheAside() && request.write();
    if (!f.toOrigin && request.key() != 0) {
      f.seen = hot.seen(request.key(), now);
      f.spread = spread(f.seen);
    }
    advance(now, f, out);
  }

  /**
   * The draft sends all of a key to one member. A key that locally exceeds a server's fair part is
   * spread over as many of its top ranks as bring each under that, wherever it is as hot.
   */
  private int spread(int seen) {
    int n = seen < HotKeys.MIN_COUNT ? 1 : (int) Math.ceil(seen / hot.total() * ranked.length);
    return Math.max(1, Math.min(n, ranked.length));
  }

  private void advance(double now, InFlightRequest f, Actions out) {
    f.waiting = false;
    boolean worthless =
        f.safe
            && f.kind.lateWeightFraction() == 0
            && now > f.arrivedMs + f.kind.latencyObjectiveMs();
    if (f.done || f.streaming) {
      return;
    }
    if (worthless) {
      giveUp(now, f, out);
      return;
    }
    // Before a server is chosen: a choice may be a suspect's one trial, which must then be sent.
    if (f.attempts == 0
        && f.safe
        && !f.toOrigin
        && ranked.length > 0
        && refused(now, f, crowd, crowd.excess(now))) {
      giveUp(now, f, out);
      return;
    }
    Server s = null;
    if (f.attempts < cfg.maxAttempts() && now < f.request.deadlineMs()) {
      s =
          f.toOrigin
                  || cfg.cacheAside() && f.safe && f.attempts >= CACHE_TRIES && f.missedAt == null
              ? origin
              : choose(now, f, out);
      if (s == null && cfg.cacheAside() && f.safe) {
        s = origin;
      }
    }
    if (s == null || !maySend(now, f, s)) {
      giveUp(now, f, out);
      return;
    }
    if (s == origin && !f.request.write() && f.request.key() != 0) {
      InFlightRequest leader = fetches.get(f.request.key());
      if (leader != null) {
        f.waiting = leader != f && leader.followers.add(f);
        return;
      }
      double excess = throttle.excess(now);
      boolean tooLate = excess > 0 && now + fetchMs > f.arrivedMs + f.kind.latencyObjectiveMs();
      if (!tooLate) { // who is turned away as too late does not count, or the throttle stays shut
        throttle.asked(now);
      }
      if (tooLate || refused(now, f, throttle, excess)) {
        giveUp(now, f, out);
        return;
      }
      fetches.put(f.request.key(), f);
      f.followers = new ArrayDeque<>();
      f.fetch = f.attempts;
    } else if (s == origin) {
      throttle.asked(now);
    }
    place(now, f, s, out);
  }

  private void place(double now, InFlightRequest f, Server s, Actions out) {
    int a = f.attempts++;
    f.at[a] = s;
    f.sentAt[a] = now;
    f.out++;
    boolean worthlessLate = s != origin && f.safe && f.kind.lateWeightFraction() == 0;
    out.place(
        f.request.id(),
        s.id,
        worthlessLate ? Math.max(1, f.arrivedMs + f.kind.latencyObjectiveMs() - now) : 0);
    if (s != origin && f.safe && f.attempts < cfg.maxAttempts() && f.attempts <= CACHE_TRIES) {
      timer(patience(now, f), PATIENCE, f, out);
    }
  }

  /**
   * How long a cache server may take before it is doubted: three deviations over the usual time for
   * the work hinted at, but early enough that runner-up and origin can still answer within the aim.
   */
  private double patience(double now, InFlightRequest f) {
    double usual = (pace + 3 * paceDeviation) * f.work();
    double left = Math.min(f.kind.latencyObjectiveMs(), f.request.deadlineMs() - now);
    return Math.max(left / 4, Math.min(usual, left - 2 * fetchMs));
  }

  /**
   * The server is overdue: runner-up if the budget allows; guards against silent and hung servers.
   * Where the attempt stays out, its answer clears the server, or that of the next trial after an
   * aim: an attempt that its second copy has beaten is called off and can clear nobody, and most
   * such servers only stood still for a moment or had a queue. Harm: a hung one is tried that much
   * sooner, a request each time. Where the attempt must be called off, one slow answer is no
   * evidence, two in a row are: shunning sound servers moves their keys to the origin.
   */
  private void overdue(double now, InFlightRequest f, Actions out) {
    int a = f.attempts - 1;
    Server s = f.at[a];
    if (f.done || f.streaming || f.ended[a] || s.ofOrigin) {
      return;
    }
    if (cfg.mayHedge() || ++s.doubts > 1) {
      suspect(now, s, cfg.mayHedge() ? f.kind.latencyObjectiveMs() : shunMs(), f.sentAt[a]);
    }
    if (silent(now, s.member.zone(), s.id, 1, out)) {
      return;
    }
    if (doubts < 1
        || f.request.deadlineMs() - now < fetchMs
        || !cfg.mayHedge() && !cfg.mayCancel()) {
      return;
    }
    doubts--;
    f.doubted = true;
    if (cfg.mayHedge()) {
      advance(now, f, out);
    } else {
      out.cancel(f.request.id(), a);
    }
  }

  /** A sign that a zone is silent. True: it is out of reach by that from now on. */
  private boolean silent(double now, int zone, int server, int weight, Actions out) {
    Zone z = zones[zone];
    if (cfg.zones() < 2 || !cfg.mayHedge() || now < z.outUntil) {
      return false;
    }
    if (z.signs == 0 || now - z.signAt > SIGNS_CONNECTS * cfg.connectTimeoutMs()) {
      z.signs = 0;
      z.since = now;
      z.silent = server;
    }
    z.silent = z.silent == server ? server : -1;
    z.signs += weight;
    z.signAt = now;
    // Where nobody answers, all are slow. One sign is enough while it was not heard since it was
    // out.
    boolean others = Arrays.stream(zones).anyMatch(o -> o != z && o.heardAt > z.since);
    if (!others || z.failures == 0 && (z.signs < ZONE_SIGNS || z.silent >= 0)) {
      return false;
    }
    z.outUntil = now + shunMs() * (1 << Math.min(z.failures, 1));
    if (z.failures++ == 0 && cfg.peers()) {
      out.tell(-1, new byte[] {ZONE_SILENT, (byte) cfg.zone(), (byte) zone});
    }
    elsewhere(now, at -> at.member.zone() == zone, out);
    return true;
  }

  /** Its zone is there. */
  private void heard(double now, Server s) {
    if (!s.ofOrigin) {
      Zone z = zones[s.member.zone()];
      z.signs = z.failures = 0;
      z.outUntil = 0;
      z.heardAt = now;
    }
  }

  private double shunMs() {
    return SHUN_CONNECTS * cfg.connectTimeoutMs();
  }

  private void suspect(double now, Server s, double forMs, double sinceMs) {
    s.trial = false;
    s.probed = false;
    s.shunnedUntil = now + forMs * (1 << Math.min(s.failures, 3));
    s.failures++;
    if (tier != null) {
      tier.failed(now, s.id, sinceMs, s.shunnedUntil - now);
    }
  }

  private boolean maySend(double now, InFlightRequest f, Server s) {
    if (f.out > 0 && !(cfg.mayHedge() && f.safe)) {
      return false;
    }
    if (Double.isNaN(f.maybeRanSince) || f.safe) {
      return true;
    }
    // A send counts when its last byte has come, which may be as late as its connection comes up.
    return f.kind.effect() == Effect.IDEMPOTENCY_KEY
        && now + cfg.connectTimeoutMs() < f.maybeRanSince + f.kind.windowMs()
        && sameGroup(f.kind.group(), f.maybeRanAt.member, s.member);
  }

  private static boolean sameGroup(Group group, Member a, Member b) {
    return switch (group) {
      case ALL -> true;
      case ZONE -> a.zone() == b.zone();
      case CELL -> a.cell() == b.cell();
    };
  }

  private void giveUp(double now, InFlightRequest f, Actions out) {
    if (f.out > 0 && f.safe) {
      return;
    }
    answer(now, f, out);
    finish(f);
  }

  /** The final answer: a refusal only where no attempt may have run. */
  private void answer(double now, InFlightRequest f, Actions out) {
    if (f.safe || Double.isNaN(f.maybeRanSince) && f.out == 0) {
      out.deny(f.request.id(), comeBackMs(now));
    } else {
      out.fail(f.request.id());
    }
  }

  /**
   * What is refused for want of room has none a few milliseconds later. The more is asked over what
   * is answered, the later the client is told to come back, each by chance a little different.
   */
  private double comeBackMs(double now) {
    if (!cfg.mayAdviseRetryAfter()) {
      return 0;
    }
    double over = Math.max(crowd.pressure(now), throttle.pressure(now)) - AdaptiveThrottle.HEADROOM;
    return over <= 0
        ? 0
        : cfg.maxRetryAfterMs() * Math.min(1, over) * (0.5 + random.nextDouble() / 2);
  }

  private void finish(InFlightRequest f) {
    f.done = true;
    if (f.out == 0) {
      flights.remove(f.request.id());
    }
  }

  // ---- choice of a server

  private Server choose(double now, InFlightRequest f, Actions out) {
    safeReadMs = f.safe ? now : safeReadMs;
    int want = Math.min(ranked.length, Math.max(RANKS, f.spread + RANKS));
    Server stay = f.stayAt;
    f.stayAt = null;
    if (stay != null
        && stay.failures == 0
        && servers.get(stay.id) == stay
        && stay.member.state() == State.READY
        && !byHand.containsKey(stay.id)
        && !cold(now, stay)) {
      return stay;
    }
    topRanks(f.keyHash, want);
    int offset = f.spread > 1 ? share(f.spread) : 0;
    Server untried = null;
    for (int i = 0; i < topCount; i++) {
      Server s = top[i < f.spread ? (i + offset) % f.spread : i];
      if (tried(f, s) && s != f.missedAt) {
        continue;
      }
      if (untried == null && !cold(now, s)) {
        untried = s;
      }
      if (open(now, f, s, out)) {
        return s;
      }
    }
    return untried;
  }

  /**
   * Which of the ranks that share a hot key goes first: of two drawn, one in this zone if there is
   * one. Guards against paying the way between zones for keys that are kept in both. Harm: where a
   * zone has most of the traffic and few of the ranks, those take up to twice their part.
   */
  private int share(int ranks) {
    int first = random.nextInt(ranks);
    int second = random.nextInt(ranks);
    boolean near = top[first].member.zone() == cfg.zone();
    return near || top[second].member.zone() != cfg.zone() ? first : second;
  }

  private static boolean tried(InFlightRequest f, Server s) {
    for (int a = 0; a < f.attempts; a++) {
      if (f.at[a] == s) {
        return true;
      }
    }
    return false;
  }

  /**
   * The draft routes past a member that cannot be contacted but not when to come back. A suspect is
   * passed over until a trial answers: a probe where allowed, else one safe request; where no safe
   * one has come for a while, another, or it would never be back. Trials are a set part of the
   * traffic: a proxy that meets a server once in many seconds cannot spend a request on each
   * meeting.
   */
  private boolean open(double now, InFlightRequest f, Server s, Actions out) {
    if (now < s.noPlaceUntil || now < zones[s.member.zone()].outUntil) {
      return false; // the draft's member that cannot be contacted, though it may be well
    }
    boolean clear = s.failures == 0 || s.probed && !s.trial;
    boolean mayTry = f.attempts == 0 && (f.safe || now - safeReadMs > shunMs());
    boolean probes = f.attempts == 0 && cfg.mayHealthCheck();
    if (!clear && (now < s.shunnedUntil || s.trial || !mayTry && !probes || trials < 1)) {
      return false;
    }
    if (tier != null && tier.isEjected(now, s.id, mayTry)) {
      return false; // as others of the tier have found
    }
    if (clear) {
      return warmEnough(now, f, s);
    }
    trials--;
    s.trial = true;
    if (cfg.mayHealthCheck()) {
      out.probe(s.id);
      return false;
    }
    return warmEnough(now, f, s);
  }

  /**
   * The draft knows no cold member. Of one key it takes no more than a server's fair part of what
   * this instance sees. For its warm-up a server takes only keys whose lot, the same at all
   * instances, lies under its ramp; the others stay with their runner-up. Repeats and hot keys keep
   * off it: they are what pushes it over.
   */
  private boolean warmEnough(double now, InFlightRequest f, Server s) {
    if (!cold(now, s)) {
      return true;
    }
    if (f.attempts > 0 || f.spread > 1) {
      return false;
    }
    double age = now - startedMs(s);
    double capacity =
        cfg.startCapacity() + (1 - cfg.startCapacity()) * Math.max(0, age) / cfg.warmUpMs();
    double warm = warmRate(now, s);
    double ramp = warm > 0 ? Math.min(1, capacity) : capacity / COLD_MARGIN / crowd.pressure(now);
    boolean fair = f.seen <= 1 || random.nextDouble() * f.seen < hot.total() * s.share;
    if (!fair || Carp.lot(f.keyHash, s.hash) >= ramp) {
      return false;
    }
    if (tier != null) {
      QuotaResult word = tier.spendSlowStartQuota(now, s.id, s.member.kind(), capacity, warmOnes);
      if (word != QuotaResult.UNKNOWN) {
        return word == QuotaResult.SPENT;
      }
    }
    if (warm > 0) {
      double more =
          capacity * warm * Math.max(0, now - Math.max(s.allowedAt, s.member.startedMs()));
      s.allowed = Math.min(COLD_SAVED, s.allowed + more);
      s.allowedAt = now;
      if (s.allowed < 1) {
        return false;
      }
      s.allowed--;
    }
    return true;
  }

  /** Answers a millisecond of a warm server like this one, on the mean; 0: none has answered. */
  private double warmRate(double now, Server like) {
    double sum = 0;
    int n = 0;
    for (Server s : ranked) {
      if (s.member.kind() == like.member.kind() && s.failures == 0 && !cold(now, s)) {
        sum += s.answers * Math.exp((s.answersAt - now) / ANSWERS_MS);
        n++;
      }
    }
    warmOnes = n;
    return n == 0 ? 0 : sum / n / ANSWERS_MS;
  }

  private boolean cold(double now, Server s) {
    double born = startedMs(s);
    return born != 0 && now - born < cfg.warmUpMs();
  }

  /**
   * When the server started. One that was out by hand has most likely been restarted meanwhile:
   * until the list tells a start within that time, it counts as started when it came back.
   */
  private static double startedMs(Server s) {
    double born = s.member.startedMs();
    return born > s.outMs ? born : Math.max(born, s.backMs);
  }

  private void topRanks(int keyHash, int want) {
    if (top.length < want) {
      top = new Server[want];
      topScore = new double[want];
    }
    topCount = 0;
    for (Server s : ranked) {
      double score = Carp.score(keyHash, s.hash, s.multiplier);
      if (topCount == want && score <= topScore[want - 1]) {
        continue;
      }
      int i = topCount < want ? topCount++ : want - 1;
      for (; i > 0 && topScore[i - 1] < score; i--) {
        top[i] = top[i - 1];
        topScore[i] = topScore[i - 1];
      }
      top[i] = s;
      topScore[i] = score;
    }
  }

  // ---- ends of attempts

  @Override
  public void onAttemptEnd(double now, AttemptEnd end, Actions out) {
    InFlightRequest f = flights.get(end.request());
    if (f == null || end.attempt() >= f.attempts || f.ended[end.attempt()]) {
      return;
    }
    Server s = f.at[end.attempt()];
    f.ended[end.attempt()] = true;
    f.out--;
    learn(now, f, s, end, out);
    if (end.outcome().mayHaveRun() && Double.isNaN(f.maybeRanSince)) {
      f.maybeRanSince = f.sentAt[end.attempt()];
      f.maybeRanAt = s;
    }
    boolean wasDone = f.done;
    if (end.finalAnswer() || f.done) {
      finish(f);
    }
    if (f.followers != null && end.attempt() == f.fetch) {
      fetchEnded(now, f, end.outcome() == Outcome.OK, out);
    }
    if (!wasDone && end.finalAnswer()) {
      cancelRest(f, out);
    } else if (!f.done) {
      next(now, f, s, end, out);
    }
  }

  private void next(double now, InFlightRequest f, Server s, AttemptEnd end, Actions out) {
    if (end.outcome() == Outcome.MISS) {
      f.toOrigin = true;
      f.missedAt = s;
      if (end.note() == NOTE_FETCH_OUT && f.attempts + 2 <= cfg.maxAttempts()) {
        f.toOrigin = false;
        f.waiting = true;
        timer(fetchMs, AGAIN, f, out);
        return;
      }
    } else if (s.ofOrigin
        && end.outcome() == Outcome.FULL
        && f.request.write()
        && f.attempts < cfg.maxAttempts()) {
      f.waiting = true;
      timer(fetchMs * (0.5 + random.nextDouble()), AGAIN, f, out);
      return;
    }
    boolean broke =
        end.outcome() == Outcome.ERROR
            || end.outcome() == Outcome.RESET
            || end.outcome() == Outcome.CONNECT_FAILED;
    if (broke && f.safe) {
      // The design: other failures stay put. Guards against answers that come spoilt, which say
      // nothing of the server and would move a kept key to where it is not. Harm: a server that can
      // only fail gets two tries of a request before the origin does.
      f.stayAt = end.outcome() == Outcome.ERROR && !s.ofOrigin ? s : null;
    }
    // A fetch that broke is asked for once more; one that was refused or too slow makes a jam.
    if (s.ofOrigin && !f.request.write() && !(broke && f.safe)) {
      giveUp(now, f, out);
    } else if (f.out == 0 || f.safe && cfg.mayHedge()) {
      advance(now, f, out);
    }
  }

  private void cancelRest(InFlightRequest f, Actions out) {
    for (int a = 0; cfg.mayCancel() && a < f.attempts; a++) {
      if (!f.ended[a]) {
        out.cancel(f.request.id(), a);
      }
    }
  }

  /**
   * Those who waited for a fetch find its object where it was missed; where the fetch failed, one
   * of them tries.
   */
  private void fetchEnded(double now, InFlightRequest f, boolean stored, Actions out) {
    ArrayDeque<InFlightRequest> followers = f.followers;
    fetches.remove(f.request.key());
    f.followers = null;
    for (InFlightRequest w : followers) {
      if (w.done || !w.waiting) {
        continue;
      }
      w.toOrigin = !stored || w.attempts + 2 > cfg.maxAttempts();
      advance(now, w, out);
    }
  }

  private void learn(double now, InFlightRequest f, Server s, AttemptEnd end, Actions out) {
    if (f.doubted && end.attempt() > 0 && end.outcome() == Outcome.OK) {
      doubts++;
    }
    switch (end.outcome()) {
      case OK, MISS, FULL -> {
        s.breaks = s.noPlace = 0;
        heard(now, s);
        if (tier != null && !s.ofOrigin) {
          boolean counts = end.outcome() != Outcome.FULL && !cold(now, s);
          tier.answered(now, s.id, now - end.elapsedMs(), counts ? s.member.kind() : -1);
        }
        if (!s.ofOrigin && end.outcome() != Outcome.FULL) {
          s.answers = s.answers * Math.exp((s.answersAt - now) / ANSWERS_MS) + 1;
          s.answersAt = now;
        }
        if (!s.ofOrigin && end.outcome() == Outcome.FULL && end.attempt() > 0) {
          crowd.asked(now);
        }
        // Answering only after the aim is no better than silence and does not clear a server,
        // unless all are slow together: a shared slowdown must not become mass ejection.
        boolean timely =
            end.elapsedMs() <= f.kind.latencyObjectiveMs()
                || crowd.pressure(now) > AdaptiveThrottle.HEADROOM;
        if (s.ofOrigin || timely) {
          s.failures = s.doubts = 0;
        }
        s.trial = false;
        if (!s.ofOrigin && end.outcome() == Outcome.OK) {
          crowd.asked(now);
          if (end.elapsedMs() <= f.kind.latencyObjectiveMs() - fetchMs) {
            crowd.answered(now);
          }
          double x = end.elapsedMs() / f.work();
          paceDeviation += (Math.abs(x - pace) - paceDeviation) / 16;
          pace += (x - pace) / 16;
          doubts = Math.min(DOUBT_SAVED, doubts + DOUBT_SHARE);
        }
        if (s.ofOrigin && end.outcome() == Outcome.OK) {
          if (f.sentAt[end.attempt()] + end.elapsedMs()
              <= f.arrivedMs + f.kind.latencyObjectiveMs()) {
            throttle.answered(now);
          }
          fetchMs += (end.elapsedMs() - fetchMs) / 8;
        }
      }
      case CONNECT_FAILED, RESET, TIMEOUT -> {
        if (end.outcome() == Outcome.CONNECT_FAILED && end.note() == NOTE_NO_CONNECTION_SLOT) {
          s.trial = false;
          heard(now, s);
          double wait = NO_PLACE_MS * (1 << Math.min(s.noPlace++, 2));
          s.noPlaceUntil = now + wait * (0.5 + random.nextDouble());
          if (tier != null) {
            tier.noConnectionSlot(now, s.id, s.noPlaceUntil - now);
          }
        } else if (!s.ofOrigin) {
          // One already doubted is likely hung: no sign of crowding unless others are late too.
          boolean shared = crowd.pressure(now) > AdaptiveThrottle.HEADROOM;
          if (end.outcome() == Outcome.TIMEOUT && s.failures <= (shared ? 1 : 0)) {
            crowd.asked(now);
          }
          // One that does not come up in all its time is silent and costs more than a broken one.
          boolean silent =
              end.outcome() == Outcome.TIMEOUT
                  || end.outcome() != Outcome.RESET && end.elapsedMs() >= cfg.connectTimeoutMs();
          if (++s.breaks >= BREAKS || silent || s.failures > 0) {
            suspect(now, s, shunMs(), silent ? now - end.elapsedMs() : now);
          }
          if (silent && end.outcome() == Outcome.CONNECT_FAILED) {
            silent(now, s.member.zone(), s.id, 2, out);
          }
        }
      }
      default -> s.trial = false;
    }
  }

  @Override
  public void onFirstByte(double now, int request, int attempt, int server, Actions out) {
    InFlightRequest f = flights.get(request);
    if (f == null || f.done) {
      return;
    }
    f.streaming = true;
    if (f.followers != null && attempt == f.fetch) {
      // The rest comes as fast as this client takes it, and others must not wait for that.
      fetchEnded(now, f, true, out);
    }
    for (int a = 0; cfg.mayCancel() && a < f.attempts && f.followers == null; a++) {
      if (a != attempt && !f.ended[a]) {
        out.cancel(request, a);
      }
    }
  }

  @Override
  public void onClientGone(double now, int request, Actions out) {
    InFlightRequest f = flights.get(request);
    if (f != null && !f.done) {
      leave(f, out);
    }
  }

  /**
   * The request is over without an answer of a server: its attempts are called off, who waited on
   * it goes on.
   */
  private void leave(InFlightRequest f, Actions out) {
    finish(f);
    if (f.streaming) {
      return;
    }
    if (f.followers == null || f.followers.isEmpty()) {
      cancelRest(f, out);
    }
  }

  @Override
  public void onTimer(double now, int token, Actions out) {
    InFlightRequest f = timers.remove(token);
    switch (token & 3) {
      case DUE -> {
        if (f != null && !f.done && !f.streaming) {
          answer(now, f, out);
          leave(f, out);
        }
      }
      case PATIENCE -> {
        if (f != null) {
          overdue(now, f, out);
        }
      }
      case AGAIN -> {
        if (f != null && f.waiting) {
          advance(now, f, out);
        }
      }
      case WATCH -> {
        if (!watching && !asking) {
          asking = true;
          out.watch(true);
        }
      }
    }
  }

  private void timer(double afterMs, int kind, InFlightRequest f, Actions out) {
    int token = nextToken++ << 2 | kind;
    if (f != null) {
      timers.put(token, f);
    }
    out.setTimer(afterMs, token);
  }

  @Override
  public void onHealthCheck(
      double now, int server, Outcome outcome, double elapsedMs, float[] report, Actions out) {
    Server s = servers.get(server);
    if (s == null || s.failures == 0) {
      return;
    }
    if (outcome == Outcome.OK) {
      s.trial = false;
      s.probed = true;
    } else {
      suspect(now, s, shunMs(), now - elapsedMs);
    }
  }

  @Override
  public void onPeer(double now, int peer, byte[] message, Actions out) {
    // Who is in another zone may be the one that is cut off.
    if (message.length == 3
        && message[0] == ZONE_SILENT
        && message[1] == cfg.zone()
        && message[2] >= 0
        && message[2] < zones.length) {
      silent(now, message[2], -1, 1, out);
    }
  }
}
