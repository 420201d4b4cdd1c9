package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.QuotaResult;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.SplittableRandom;

/**
 * Slow start, which CARP doesn't define: a node that has just started receives only the keys whose
 * pseudo-random number, identical at all instances, lies below its current capacity. It receives no
 * retries and no hot keys, which would overload it.
 */
final class SlowStart {
  /**
   * Tokens that a node can save up. Tokens accrue at the node's capacity times the answer rate of
   * warm nodes of its kind, so that it receives no more than that.
   */
  static final double MAX_TOKENS = 2;

  /**
   * Divisor for the capacity while no warm node has answered. Without a measured rate the limit
   * applies to keys only, and the node may own more keys than its share.
   */
  private static final double UNKNOWN_LOAD_MARGIN = 2;

  private final Settings settings;
  private final SplittableRandom random;
  private final EndpointList endpoints;
  private final TrafficEstimates estimates;

  /** Number of warm nodes that the last call of {@link #warmAnswerRate} found. */
  private int warmNodes;

  SlowStart(
      Settings settings, SplittableRandom random, EndpointList list, TrafficEstimates estimates) {
    this.settings = settings;
    this.random = random;
    endpoints = list;
    this.estimates = estimates;
  }

  boolean isWarmingUp(double now, Node node) {
    double startedMs = startedMs(node);
    return startedMs != 0 && now - startedMs < settings.warmUpMs();
  }

  /**
   * Returns the start of the warm-up. The end of a manual ejection counts as a start, unless the
   * list shows a start after the ejection began.
   */
  private static double startedMs(Node node) {
    double listedMs = node.member.startedMs();
    return listedMs > node.manuallyEjectedMs ? listedMs : Math.max(listedMs, node.reinstatedMs);
  }

  /**
   * Whether slow start allows the node to receive the request. The node also receives at most its
   * weight share of the requests for any one key.
   */
  boolean admits(double now, InFlightRequest pending, Node node) {
    if (!isWarmingUp(now, node)) {
      return true;
    }
    if (pending.attempts > 0 || pending.replicas > 1) {
      return false;
    }
    double startCapacity = settings.startCapacity();
    double ageMs = Math.max(0, now - startedMs(node));
    double capacity = startCapacity + (1 - startCapacity) * ageMs / settings.warmUpMs();
    double warmRate = warmAnswerRate(now, node);
    double admittedKeys = Math.min(1, capacity);
    if (warmRate <= 0) {
      admittedKeys =
          capacity / UNKNOWN_LOAD_MARGIN / estimates.cacheThrottle.attemptsPerAnswer(now);
    }
    if (!withinShare(pending.keyCount, node)
        || Carp.keyDraw(pending.keyHash, node.hash) >= admittedKeys) {
      return false;
    }
    if (endpoints.tier != null) {
      int kind = node.member.kind();
      QuotaResult quota =
          endpoints.tier.spendSlowStartQuota(now, node.id, kind, capacity, warmNodes);
      if (quota != QuotaResult.UNKNOWN) {
        return quota == QuotaResult.SPENT;
      }
    }
    return warmRate <= 0 || node.takeSlowStartToken(now, capacity * warmRate);
  }

  private boolean withinShare(int keyCount, Node node) {
    double fairCount = estimates.hotKeys.total() * node.weightShare;
    return keyCount <= 1 || random.nextDouble() * keyCount < fairCount;
  }

  /**
   * Returns the mean answer rate, in answers per millisecond, of warm nodes of the same kind; 0 if
   * none has answered.
   */
  private double warmAnswerRate(double now, Node like) {
    double sum = 0;
    int count = 0;
    for (Node node : endpoints.ranked) {
      boolean matches = node.ejections == 0 && node.member.kind() == like.member.kind();
      if (matches && !isWarmingUp(now, node)) {
        sum += node.recentAnswers(now);
        count++;
      }
    }
    warmNodes = count;
    return count == 0 ? 0 : sum / count / Node.ANSWER_WINDOW_MS;
  }
}
