package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.SplittableRandom;

/**
 * Outlier ejection by passive health checks. CARP defines when to skip a member but not when to use
 * it again. Here an ejected node is reinstated by a trial, which is a health check if the settings
 * allow these and a client's request otherwise.
 */
record OutlierEjection(
    Settings settings,
    SplittableRandom random,
    EndpointList endpoints,
    TrafficEstimates estimates,
    SlowStart slowStart,
    ZoneOutages zones,
    TokenBucket trials) {
  /**
   * Duration of a first ejection, in connect timeouts. Each further ejection in a row doubles it.
   */
  private static final int EJECTION_CONNECT_TIMEOUTS = 10;

  private static final int MAX_EJECTION_DOUBLINGS = 3;

  /**
   * Consecutive failed connections after which a node is ejected. If every node loses one attempt
   * in ten, ejection at the first failure would move all keys and overload the origin. The drawback
   * is that this many attempts are lost.
   */
  private static final int MAX_BROKEN_CONNECTIONS = 3;

  /**
   * Backoff after a node had no free connection slot; doubled up to four times this value. Each
   * connect costs a handshake and an attempt. The drawback is that a freed slot is noticed later by
   * up to the backoff.
   */
  private static final double NO_SLOT_MS = 2000;

  private static final int MAX_NO_SLOT_DOUBLINGS = 2;

  /**
   * Trials that each request adds to the budget. With few requests, an instance can't spend one on
   * every ejected node.
   */
  private static final double TRIALS_PER_REQUEST = 0.05;

  static final double MAX_SAVED_TRIALS = 1;

  /** Kind passed to the tier for an answer that it must not count. */
  private static final int NOT_COUNTED = -1;

  /** Returns the duration of a first ejection, in milliseconds. */
  static double ejectionMs(Settings settings) {
    return EJECTION_CONNECT_TIMEOUTS * settings.connectTimeoutMs();
  }

  void onRequest() {
    trials.add(TRIALS_PER_REQUEST);
  }

  /**
   * Decides whether the request may be sent to the node. A first attempt may be the trial of an
   * ejected node. If no idempotent request has arrived for the duration of an ejection, a request
   * that is not idempotent may be the trial too, because otherwise the node would never be
   * reinstated.
   */
  boolean admits(double now, InFlightRequest pending, Node node, Actions actions) {
    if (now < node.noSlotUntilMs || zones.isEjected(now, node.member.zone())) {
      return false; // the node is unreachable or has no slot, although it may be healthy
    }
    boolean healthy = node.ejections == 0 || node.healthCheckPassed && !node.trialInProgress;
    boolean first = pending.attempts == 0;
    boolean idle = now - estimates.lastIdempotentSearchMs > ejectionMs(settings);
    boolean mayBeTrial = first && (pending.idempotent || idle);
    boolean mayCheck = first && settings.mayHealthCheck();
    boolean trialDue = now >= node.ejectedUntilMs && !node.trialInProgress && !trials.isEmpty();
    if (!healthy && (!trialDue || !mayBeTrial && !mayCheck)) {
      return false;
    }
    if (endpoints.tier != null && endpoints.tier.isEjected(now, node.id, mayBeTrial)) {
      return false;
    }
    if (healthy) {
      return true;
    }
    trials.take();
    node.trialInProgress = true;
    if (settings.mayHealthCheck()) {
      actions.startHealthCheck(node.id);
    }
    return !settings.mayHealthCheck();
  }

  void onHealthCheck(double now, Node node, Outcome outcome, double elapsedMs) {
    if (outcome == Outcome.OK) {
      node.trialInProgress = false;
      node.healthCheckPassed = true;
    } else {
      eject(now, node, ejectionMs(settings), now - elapsedMs);
    }
  }

  /**
   * Handles an overdue attempt. If hedges are allowed, the attempt stays in flight and its answer
   * can reinstate the node. The ejection then lasts only one latency objective before the next
   * trial, because most such nodes have only paused. If the attempt must be cancelled instead, two
   * overdue attempts in a row are needed, because ejecting healthy nodes overloads the origin.
   */
  void onOverdue(double now, InFlightRequest pending, Node node, double sentMs) {
    if (settings.mayHedge()) {
      eject(now, node, pending.serviceClass.latencyObjectiveMs(), sentMs);
    } else if (++node.overdueAttempts > 1) {
      eject(now, node, ejectionMs(settings), sentMs);
    }
  }

  /**
   * Ejects a node for {@code forMs}, doubled with each ejection in a row, because of an attempt
   * that began at {@code sinceMs}.
   */
  private void eject(double now, Node node, double forMs, double sinceMs) {
    node.trialInProgress = false;
    node.healthCheckPassed = false;
    int doublings = Math.min(node.ejections++, MAX_EJECTION_DOUBLINGS);
    node.ejectedUntilMs = now + forMs * (1 << doublings);
    if (endpoints.tier != null) {
      endpoints.tier.reportEjection(now, node.id, sinceMs, node.ejectedUntilMs - now);
    }
  }

  /**
   * Updates the node's health at the end of an attempt.
   *
   * @return whether this attempt caused the ejection of the node's zone
   */
  boolean onAttemptEnd(
      double now, InFlightRequest pending, Node node, AttemptEnd end, Actions actions) {
    switch (end.outcome()) {
      case OK, MISS, FULL -> onAnswer(now, pending, node, end);
      case CONNECT_FAILED, RESET, TIMEOUT -> {
        boolean noSlot = end.note() == RoutingApi.NOTE_NO_CONNECTION_SLOT;
        if (noSlot && end.outcome() == Outcome.CONNECT_FAILED) {
          onNoConnectionSlot(now, node);
        } else if (!node.isOrigin) {
          return onFailure(now, node, end, actions);
        }
      }
      default -> node.trialInProgress = false;
    }
    return false;
  }

  private void onAnswer(double now, InFlightRequest pending, Node node, AttemptEnd end) {
    boolean full = end.outcome() == Outcome.FULL;
    node.brokenConnections = 0;
    node.slotRefusals = 0;
    if (!node.isOrigin) {
      zones.onAnswer(now, node.member.zone());
      if (endpoints.tier != null) {
        boolean counts = !full && !slowStart.isWarmingUp(now, node);
        int kind = counts ? node.member.kind() : NOT_COUNTED;
        endpoints.tier.reportAnswer(now, node.id, now - end.elapsedMs(), kind);
      }
      if (!full) {
        node.countAnswer(now);
      } else if (end.attempt() > 0) {
        estimates.cacheThrottle.countAttempt(now);
      }
    }
    // An answer after the latency objective is as useless as no answer, so it doesn't reinstate the
    // node. The exception is a shortage of capacity at all cache nodes, because a shared slowdown
    // must not eject most of them.
    double objectiveMs = pending.serviceClass.latencyObjectiveMs();
    boolean timely = end.elapsedMs() <= objectiveMs || cacheNodesOverloaded(now);
    if (node.isOrigin || timely) {
      node.ejections = 0;
      node.overdueAttempts = 0;
    }
    node.trialInProgress = false;
    if (end.outcome() == Outcome.OK) {
      estimates.onServed(now, pending, node.isOrigin, end);
    }
  }

  /** Handles a connect that a healthy node refused because all its connection slots were in use. */
  private void onNoConnectionSlot(double now, Node node) {
    node.trialInProgress = false;
    if (!node.isOrigin) {
      zones.onAnswer(now, node.member.zone());
    }
    int doublings = Math.min(node.slotRefusals++, MAX_NO_SLOT_DOUBLINGS);
    double backoffMs = NO_SLOT_MS * (1 << doublings);
    node.noSlotUntilMs = now + backoffMs * (0.5 + random.nextDouble());
    if (endpoints.tier != null) {
      endpoints.tier.reportNoConnectionSlot(now, node.id, node.noSlotUntilMs - now);
    }
  }

  private boolean onFailure(double now, Node node, AttemptEnd end, Actions actions) {
    boolean timedOut = end.outcome() == Outcome.TIMEOUT;
    // A time-out of an ejected node most likely means that it hangs. It counts as a sign of
    // overload only if other nodes answer late too.
    int tolerated = cacheNodesOverloaded(now) ? 1 : 0;
    if (timedOut && node.ejections <= tolerated) {
      estimates.cacheThrottle.countAttempt(now);
    }
    boolean neverConnected =
        end.outcome() == Outcome.CONNECT_FAILED && end.elapsedMs() >= settings.connectTimeoutMs();
    // An attempt without any response costs more time than a failed connection, so it ejects the
    // node at once.
    boolean noResponse = timedOut || neverConnected;
    node.brokenConnections++;
    if (node.brokenConnections >= MAX_BROKEN_CONNECTIONS || noResponse || node.ejections > 0) {
      eject(now, node, ejectionMs(settings), noResponse ? now - end.elapsedMs() : now);
    }
    int zone = node.member.zone();
    return neverConnected
        && zones.onNoAnswer(now, zone, node.id, ZoneOutages.STRONG_EVIDENCE_WEIGHT, actions);
  }

  /** Whether the cache nodes receive clearly more attempts than they answer in time. */
  private boolean cacheNodesOverloaded(double now) {
    return estimates.cacheThrottle.attemptsPerAnswer(now)
        > AdaptiveThrottle.MAX_ATTEMPTS_PER_ANSWER;
  }
}
