package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Settings;

/**
 * Decides when an attempt is overdue and whether the budget allows a hedge. Hedged requests limit
 * the delay that unresponsive nodes cause.
 */
record HedgedRequests(Settings settings, TrafficEstimates estimates, TokenBucket budget) {
  /** Hedges that each answer of a cache node adds to the budget. */
  private static final double HEDGES_PER_ANSWER = 0.05;

  /** Hedges that the budget can hold. */
  static final double MAX_SAVED_HEDGES = 5;

  /** An attempt is overdue when it exceeds the estimated latency by this many mean deviations. */
  private static final int OVERDUE_DEVIATIONS = 3;

  /**
   * Returns how long to wait for a cache node before hedging, in milliseconds. The delay leaves
   * time for the second-ranked node and the origin to answer within the latency objective.
   */
  double delayMs(double now, InFlightRequest pending) {
    double usualMs = estimates.answerMs() + OVERDUE_DEVIATIONS * estimates.answerDeviationMs();
    double leftMs =
        Math.min(pending.serviceClass.latencyObjectiveMs(), pending.request.deadlineMs() - now);
    double latestMs = leftMs - 2 * estimates.fetchMs();
    double scaledMs = usualMs * estimates.relativeCost(pending.request);
    return Math.max(leftMs / 4, Math.min(scaledMs, latestMs));
  }

  /** Takes a hedge for the request from the budget; returns whether it may be hedged. */
  boolean trySpend(double now, InFlightRequest pending) {
    boolean inTime = pending.request.deadlineMs() - now >= estimates.fetchMs();
    boolean possible = inTime && (settings.mayHedge() || settings.mayCancel());
    boolean granted = possible && budget.take();
    pending.hedged |= granted;
    return granted;
  }

  /**
   * Updates the budget at the end of an attempt. A hedge whose answer was used is refunded, and
   * each answer of a cache node adds to the budget.
   */
  void onAttemptEnd(InFlightRequest pending, Node node, AttemptEnd end) {
    if (pending.hedged && end.attempt() > 0 && end.outcome() == Outcome.OK) {
      budget.refund();
    }
    if (!node.isOrigin && end.outcome() == Outcome.OK) {
      budget.add(HEDGES_PER_ANSWER);
    }
  }
}
