package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.Request;
import cacheproxy.routing.RoutingApi.ServiceClass;
import java.util.List;

/**
 * Moving averages of request costs and latencies, and throttles for cache nodes and origin, as
 * observed by this instance.
 */
final class TrafficEstimates {
  private static final int COST_SAMPLES = 32;
  private static final int ANSWER_SAMPLES = 16;
  private static final int FETCH_SAMPLES = 8;

  /** Throttle for attempts at cache nodes. */
  final AdaptiveThrottle cacheThrottle = new AdaptiveThrottle();

  /** Throttle for attempts at the origin. */
  final AdaptiveThrottle originThrottle = new AdaptiveThrottle();

  final HotKeys hotKeys = new HotKeys();

  /** Time of the last search for a cache node for an idempotent request. */
  double lastIdempotentSearchMs = Double.NEGATIVE_INFINITY;

  private double costMs;
  private double answerMs;
  private double answerDeviationMs;
  private double fetchMs;

  /** Initial latency estimates are fixed fractions of the shortest latency objective. */
  TrafficEstimates(List<ServiceClass> classes) {
    double shortestMs =
        classes.stream().mapToDouble(ServiceClass::latencyObjectiveMs).min().orElseThrow();
    fetchMs = shortestMs / 4;
    answerMs = shortestMs / 8;
    answerDeviationMs = answerMs;
  }

  void onCostHint(double hintMs) {
    costMs += (hintMs - costMs) / (costMs > 0 ? COST_SAMPLES : 1);
  }

  /** Returns the request's cost hint divided by the average hint; 1 if the request has no hint. */
  double relativeCost(Request request) {
    return request.costMs() > 0 && costMs > 0 ? request.costMs() / costMs : 1;
  }

  /** Updates the estimates with an answer that a node has given. */
  void onServed(double now, InFlightRequest pending, boolean byOrigin, AttemptEnd end) {
    if (byOrigin) {
      double answeredMs = pending.sentMs[end.attempt()] + end.elapsedMs();
      if (answeredMs <= pending.objectiveEndMs()) {
        originThrottle.countTimelyAnswer(now);
      }
      fetchMs += (end.elapsedMs() - fetchMs) / FETCH_SAMPLES;
      return;
    }
    cacheThrottle.countAttempt(now);
    if (end.elapsedMs() <= pending.serviceClass.latencyObjectiveMs() - fetchMs) {
      cacheThrottle.countTimelyAnswer(now);
    }
    double sampleMs = end.elapsedMs() / relativeCost(pending.request);
    answerDeviationMs += (Math.abs(sampleMs - answerMs) - answerDeviationMs) / ANSWER_SAMPLES;
    answerMs += (sampleMs - answerMs) / ANSWER_SAMPLES;
  }

  /**
   * Returns the estimated latency of a cache node for a request of average cost, in milliseconds.
   */
  double answerMs() {
    return answerMs;
  }

  double answerDeviationMs() {
    return answerDeviationMs;
  }

  /** Returns the estimated latency of the origin, in milliseconds. */
  double fetchMs() {
    return fetchMs;
  }
}
