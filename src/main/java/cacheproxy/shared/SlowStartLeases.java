package cacheproxy.shared;

import cacheproxy.routing.RoutingApi;
import cacheproxy.shared.SharedMessage.QuotaGrant;
import cacheproxy.shared.SharedMessage.QuotaRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * The slow-start quotas of up to {@link #MAX_NODES} warming-up nodes. Spends this proxy's part of
 * each quota and negotiates leases with the other lease holders. All times are milliseconds of one
 * clock. Not thread-safe.
 */
final class SlowStartLeases {
  /**
   * The largest number of proxies that share quotas. In a larger tier each proxy's part would be
   * too small for a request, so quotas are not shared.
   */
  static final int MAX_PROXIES = 32;

  private static final int MAX_NODES = 256;

  /** The quota of a node for which no request or lease request came for this time is removed. */
  private static final double UNUSED_NODE_RETENTION_MS = 20_000;

  /**
   * The share of the difference between the overload limit and the expected load that the tier may
   * save up as tokens. The remainder is a reserve for random bursts.
   */
  private static final double BURST_SHARE = 0.75;

  /** Compensates for rounding down the units of each lease holder. */
  private static final double ROUNDING_MARGIN = 1.01;

  private static final double FLOOR_SHARE = 0.3;
  private static final double LEASE_MS = 2000;
  private static final double CLOCK_DRIFT = 0.001;

  /** Initial rate and burst, replaced at the first request for the node. */
  private static final double INITIAL_RATE_PER_MS = 1e-6;

  private static final double INITIAL_BURST = 1;

  private static final class WarmingNode {
    /** Null if this proxy is no lease holder; not an Optional, as it is read for each request. */
    final SlowStartQuota quota;

    double lastUsedMs;

    WarmingNode(SlowStartQuota quota) {
      this.quota = quota;
    }
  }

  private final SharedStateSettings settings;
  private final SplittableRandom random;
  private final double startedMs;
  private final boolean enforced;
  private final Map<Integer, WarmingNode> nodes = new HashMap<>();
  private boolean overlapping;
  private long spent;
  private long refused;

  /**
   * @param enforced false to admit all requests, for tests
   */
  SlowStartLeases(
      SharedStateSettings settings, SplittableRandom random, double now, boolean enforced) {
    this.settings = settings;
    this.random = random;
    this.enforced = enforced;
    startedMs = now;
  }

  /** Whether the proxies of this tier share slow-start quotas. */
  boolean isEnabled() {
    return settings.slowStartQuota() && settings.proxies() <= MAX_PROXIES;
  }

  /** Whether this proxy tracks no warming-up node. */
  boolean isEmpty() {
    return nodes.isEmpty();
  }

  long spentCount() {
    return spent;
  }

  long refusedCount() {
    return refused;
  }

  /**
   * Spends quota of the node for one request. Called for each request to a warming-up node;
   * allocates memory only at the first request for the node.
   *
   * @param ratePerMs the rate at which the entire tier may send requests to the node; 0 if unknown
   */
  RoutingApi.QuotaResult spend(double now, int node, double ratePerMs) {
    if (ratePerMs <= 0) {
      // No warm node of this kind has answered the tier recently, or this proxy has just started
      // and has received no reports yet. The request is refused only shortly after the start.
      return now - startedMs < ServedCounters.WINDOW_MS ? refuse() : RoutingApi.QuotaResult.UNKNOWN;
    }
    if (!enforced) {
      return RoutingApi.QuotaResult.SPENT;
    }
    WarmingNode warming = getOrCreate(now, node);
    if (warming == null || warming.quota == null) {
      return refuse();
    }
    warming.quota.setRate(now, ratePerMs, burst(ratePerMs));
    if (!warming.quota.trySpend(now, 1)) {
      return refuse();
    }
    spent++;
    return RoutingApi.QuotaResult.SPENT;
  }

  private RoutingApi.QuotaResult refuse() {
    refused++;
    return RoutingApi.QuotaResult.REFUSED;
  }

  /**
   * Returns null if there are too many nodes; not an Optional, as it is called for each request.
   */
  private WarmingNode getOrCreate(double now, int node) {
    WarmingNode warming = nodes.get(node);
    if (warming == null && nodes.size() < MAX_NODES) {
      warming = create(now, node);
      nodes.put(node, warming);
    }
    if (warming != null) {
      warming.lastUsedMs = now;
    }
    return warming;
  }

  private WarmingNode create(double now, int node) {
    if (!isHolder(node, settings.me())) {
      return new WarmingNode(null);
    }
    SlowStartQuota.Settings quotaSettings =
        new SlowStartQuota.Settings(
            LeaseHolders.count(settings.proxies()),
            FLOOR_SHARE,
            INITIAL_RATE_PER_MS,
            INITIAL_BURST,
            LEASE_MS,
            CLOCK_DRIFT);
    SlowStartQuota quota = new SlowStartQuota(quotaSettings, random.nextInt(), now, startedMs);
    if (overlapping) {
      quota.setOverlapping(now, true);
    }
    return new WarmingNode(quota);
  }

  private boolean isHolder(int node, int proxy) {
    return LeaseHolders.contains(node, proxy, settings.proxies());
  }

  /**
   * The number of requests that the tier may save up at this rate. It is raised to one request for
   * each lease holder if the overload limit allows that, including its tolerance for random
   * variation (three standard deviations plus three requests).
   */
  private double burst(double ratePerMs) {
    double allowed = settings.overloadFactor() * ratePerMs * settings.overloadWindowMs();
    double expected = ratePerMs * settings.overloadWindowMs();
    double onePerHolder = ROUNDING_MARGIN * LeaseHolders.count(settings.proxies());
    double saved = (allowed - expected) * BURST_SHARE;
    boolean fits = allowed + 3 * Math.sqrt(allowed) + 3 >= expected + onePerHolder;
    return saved >= onePerHolder || !fits ? saved : onePerHolder;
  }

  /** Called when a second process of this proxy starts at the same address, and when it ends. */
  void setOverlapping(double now, boolean nowOverlapping) {
    overlapping = nowOverlapping;
    for (WarmingNode warming : nodes.values()) {
      if (warming.quota != null) {
        warming.quota.setOverlapping(now, nowOverlapping);
      }
    }
  }

  void expire(double now) {
    nodes.values().removeIf(warming -> now - warming.lastUsedMs > UNUSED_NODE_RETENTION_MS);
  }

  /**
   * The proxy from which to request quota; empty if no quota is short or no lease holder is
   * present.
   *
   * @param randomPeer draws a present proxy that satisfies a condition
   */
  OptionalInt chooseLender(double now, RandomPeer randomPeer) {
    for (Map.Entry<Integer, WarmingNode> entry : nodes.entrySet()) {
      SlowStartQuota quota = entry.getValue().quota;
      if (quota == null) {
        continue;
      }
      OptionalInt lender = quota.lenderToRenewWith(now);
      if (lender.isPresent()) {
        return lender;
      }
      if (quota.isShortOfUnits(now)) {
        return randomPeer.draw(proxy -> isHolder(entry.getKey(), proxy));
      }
    }
    return OptionalInt.empty();
  }

  /** Draws a random present proxy other than this one. */
  interface RandomPeer {
    /** Returns empty if no present proxy satisfies the condition. */
    OptionalInt draw(IntPredicate condition);
  }

  /** The lease requests to send to this lender with a pull. */
  List<QuotaRequest> requestsTo(double now, int lender) {
    List<QuotaRequest> requests = new ArrayList<>();
    for (Map.Entry<Integer, WarmingNode> entry : nodes.entrySet()) {
      SlowStartQuota quota = entry.getValue().quota;
      if (requests.size() < SharedMessageCodec.MAX_QUOTA_REQUESTS
          && quota != null
          && isHolder(entry.getKey(), lender)) {
        quota
            .requestLease(now, lender)
            .ifPresent(request -> requests.add(new QuotaRequest(entry.getKey(), request)));
      }
    }
    return requests;
  }

  /**
   * Answers the lease requests of a borrower. Starts to track a node that this proxy receives no
   * requests for, so that it can lend its part of the quota.
   *
   * @param isListed whether the endpoint list names a node
   */
  List<QuotaGrant> grant(
      double now, int borrower, List<QuotaRequest> requests, IntPredicate isListed) {
    List<QuotaGrant> grants = new ArrayList<>();
    for (QuotaRequest wanted : requests) {
      int node = wanted.node();
      if (!isListed.test(node) || !isHolder(node, settings.me())) {
        continue;
      }
      WarmingNode warming = getOrCreate(now, node);
      if (warming != null) {
        warming
            .quota
            .receiveRequest(now, borrower, wanted.request())
            .ifPresent(grant -> grants.add(new QuotaGrant(node, grant)));
      }
    }
    return grants;
  }

  /** Handles the grant of a lender. */
  void accept(double now, int lender, QuotaGrant granted) {
    WarmingNode warming = nodes.get(granted.node());
    if (warming != null && warming.quota != null) {
      warming.quota.receiveGrant(now, lender, granted.grant());
    }
  }

  List<SharedStateView.WarmingNode> view(double now) {
    List<SharedStateView.WarmingNode> views = new ArrayList<>();
    nodes.forEach((node, warming) -> views.add(view(now, node, warming.quota)));
    return views;
  }

  private static SharedStateView.WarmingNode view(double now, int node, SlowStartQuota quota) {
    if (quota == null) {
      return new SharedStateView.WarmingNode(node, false, 0, 0, 0);
    }
    double total = SlowStartQuota.TOTAL_UNITS;
    return new SharedStateView.WarmingNode(
        node,
        true,
        quota.spendableUnits(now) / total,
        quota.lentUnits(now) / total,
        quota.borrowedUnits(now) / total);
  }
}
