package cacheproxy.routing;

import cacheproxy.routing.InFlightRequests.TimerKind;
import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.EndpointCounts;
import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.ListKind;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Settings;
import cacheproxy.routing.RoutingApi.Tier;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * The endpoints that may receive requests, their CARP weights, and the polling of the list service.
 * Draining and manually ejected endpoints are excluded from the ranking.
 */
final class EndpointList {
  private final Settings settings;
  private final SplittableRandom random;
  private final InFlightRequests requests;
  private final Map<Integer, Node> byId = new HashMap<>();

  /**
   * Time of the ejection, in milliseconds, of each endpoint that an operator has ejected, by id.
   */
  private final Map<Integer, Double> manuallyEjected = new HashMap<>();

  /** The cache nodes that may receive requests, sorted by unsigned id. */
  Node[] ranked = new Node[0];

  /** The origin in use; null if there is none. */
  Node origin;

  /** Health information shared by the proxy tier; null if none is shared. */
  Tier tier;

  private boolean watching;
  private boolean polling;
  private int pollFailures;

  EndpointList(Settings settings, SplittableRandom random, InFlightRequests requests) {
    this.settings = settings;
    this.random = random;
    this.requests = requests;
  }

  /** Returns the node with this id; null if it is not in the list. */
  Node find(int id) {
    return byId.get(id);
  }

  /** Whether this node object is still the listed one for its id and may receive requests. */
  boolean isUsable(Node node) {
    return byId.get(node.id) == node && isReady(node);
  }

  private boolean isReady(Node node) {
    return node.member.state() == EndpointState.READY && !manuallyEjected.containsKey(node.id);
  }

  void useTier(Tier newTier) {
    tier = newTier;
    rebuildRanking();
  }

  void onList(ListKind kind, List<Member> members, Actions actions) {
    if (kind == ListKind.FAILED) {
      watching = false;
      polling = false;
      pollAgainLater(actions);
      return;
    }
    if (kind == ListKind.CACHED && settings.pollsEndpointList()) {
      // The list service has little capacity, so instances that start together spread their first
      // calls over time.
      double spreadMs = settings.instances() * settings.connectTimeoutMs() / 2;
      double spanMs = Math.min(settings.pollWithinMs() / 2, spreadMs);
      setPollTimer(random.nextDouble() * spanMs, actions);
    } else if (polling) {
      polling = false;
      watching = true;
      pollFailures = 0;
    }
    InputValidator.check(members, settings);
    if (kind != ListKind.CHANGES) {
      byId.keySet().retainAll(members.stream().map(Member::id).collect(Collectors.toSet()));
    }
    members.forEach(this::update);
    rebuildRanking();
  }

  private void update(Member member) {
    if (member.state() == EndpointState.GONE) {
      byId.remove(member.id());
      return;
    }
    Node node = byId.computeIfAbsent(member.id(), id -> new Node(id, SlowStart.MAX_TOKENS));
    if (node.member != null && node.member.startedMs() != member.startedMs()) {
      node.resetFailures();
    }
    node.member = member;
    node.isOrigin = settings.cacheAside() && member.kind() == settings.originKind();
  }

  private void rebuildRanking() {
    origin = null;
    List<Node> ready = new ArrayList<>();
    for (Node node : byId.values()) {
      if (isReady(node) && node.isOrigin) {
        origin = node;
      } else if (isReady(node)) {
        ready.add(node);
      }
    }
    ready.sort((a, b) -> Integer.compareUnsigned(a.id, b.id));
    ranked = ready.toArray(new Node[0]);
    float[] weights = new float[ranked.length];
    double sum = 0;
    for (int i = 0; i < ranked.length; i++) {
      weights[i] = ranked[i].member.weight();
      sum += weights[i];
    }
    float[] multipliers = Carp.multipliers(weights);
    for (int i = 0; i < ranked.length; i++) {
      ranked[i].multiplier = multipliers[i];
      ranked[i].weightShare = sum > 0 ? weights[i] / sum : 1.0 / ranked.length;
    }
    if (tier != null) {
      int[] ids = ready.stream().mapToInt(node -> node.id).toArray();
      tier.setEndpoints(ids, ready.stream().mapToInt(node -> node.member.zone()).toArray());
    }
  }

  private void setPollTimer(double delayMs, Actions actions) {
    actions.setTimer(delayMs, requests.newTimer(TimerKind.POLL_ENDPOINTS, null));
  }

  void onPollTimer(Actions actions) {
    if (!watching && !polling) {
      polling = true;
      actions.watchEndpointList(true);
    }
  }

  private void pollAgainLater(Actions actions) {
    pollFailures++;
    double backoffMs = settings.pollWithinMs() / 16 * (1 << Math.min(pollFailures, 3));
    setPollTimer(backoffMs * (0.5 + random.nextDouble() / 2), actions);
  }

  void onManualEjection(double now, int id, boolean eject, Actions actions) {
    Double since = manuallyEjected.get(id);
    if (eject && since == null) {
      manuallyEjected.put(id, now);
      actions.closeIdleConnections(id);
    } else if (!eject && since != null) {
      manuallyEjected.remove(id);
      Node node = byId.get(id);
      if (node != null) {
        node.manuallyEjectedMs = since;
        node.reinstatedMs = now;
        node.resetAllFailures();
      }
    }
    rebuildRanking();
  }

  EndpointCounts counts(double now) {
    int listed = 0;
    int unavailable = 0;
    for (Node node : byId.values()) {
      boolean available = isReady(node) && now >= node.ejectedUntilMs;
      listed += node.isOrigin ? 0 : 1;
      unavailable += node.isOrigin || available ? 0 : 1;
    }
    return new EndpointCounts(listed, unavailable);
  }
}
