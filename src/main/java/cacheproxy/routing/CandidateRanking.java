package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.SplittableRandom;

/**
 * Chooses the cache node for an attempt: the one with the highest CARP score, or the next rank if
 * that one was already tried, is ejected or is warming up. Requests for hot keys are spread over
 * several ranks.
 */
record CandidateRanking(
    Settings settings,
    SplittableRandom random,
    EndpointList endpoints,
    TrafficEstimates estimates,
    OutlierEjection ejection,
    SlowStart slowStart,
    TopRanks top) {
  /**
   * Ranks considered for a request. If half the fleet has failed, all eight ranks are down for only
   * one key in 256.
   */
  private static final int RANKS = 8;

  /**
   * Counts a request's key and sets over how many ranks it is spread. CARP alone sends all requests
   * for a key to one node. If this instance sees a key more often than an equal share per node, the
   * key is spread over enough of its top ranks to bring each node below that share.
   */
  void countKey(double now, InFlightRequest pending) {
    HotKeys hotKeys = estimates.hotKeys;
    int count = hotKeys.count(pending.request.key(), now);
    int ranked = endpoints.ranked.length;
    boolean tooFewToJudge = count < HotKeys.MIN_COUNT;
    int wanted = tooFewToJudge ? 1 : (int) Math.ceil(count / hotKeys.total() * ranked);
    pending.keyCount = count;
    pending.replicas = Math.max(1, Math.min(wanted, ranked));
  }

  /**
   * Returns the cache node for the next attempt of a request; null if there is none. If no rank is
   * admitted, returns the best one that is warm and was not tried yet, even though it is ejected.
   */
  Node choose(double now, InFlightRequest pending, Actions actions) {
    if (pending.idempotent) {
      estimates.lastIdempotentSearchMs = now;
    }
    Node previousNode = pending.retryNode;
    pending.retryNode = null;
    boolean canRetryThere =
        previousNode != null && previousNode.ejections == 0 && endpoints.isUsable(previousNode);
    if (canRetryThere && !slowStart.isWarmingUp(now, previousNode)) {
      return previousNode;
    }
    int replicas = pending.replicas;
    rank(pending.keyHash, RANKS + replicas);
    int offset = replicas > 1 ? firstReplica(replicas) : 0;
    Node fallback = null;
    for (int rank = 0; rank < top.count(); rank++) {
      Node node = top.get(rank < replicas ? (rank + offset) % replicas : rank);
      if (pending.tried(node) && node != pending.missedNode) {
        continue;
      }
      if (fallback == null && !slowStart.isWarmingUp(now, node)) {
        fallback = node;
      }
      if (ejection.admits(now, pending, node, actions) && slowStart.admits(now, pending, node)) {
        return node;
      }
    }
    return fallback;
  }

  private void rank(int keyHash, int wanted) {
    top.clear(Math.min(endpoints.ranked.length, wanted));
    for (Node node : endpoints.ranked) {
      top.offer(node, Carp.score(keyHash, node.hash, node.multiplier));
    }
  }

  /**
   * Picks the rank of a hot key to use first. Draws two ranks at random and prefers one in this
   * zone, because traffic between zones costs money. The drawback is that the few ranks in a zone
   * may receive up to twice their share.
   */
  private int firstReplica(int replicas) {
    int first = random.nextInt(replicas);
    int second = random.nextInt(replicas);
    boolean firstIsLocal = top.get(first).member.zone() == settings.zone();
    boolean secondIsLocal = top.get(second).member.zone() == settings.zone();
    return firstIsLocal || !secondIsLocal ? first : second;
  }
}
