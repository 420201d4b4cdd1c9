package cacheproxy.routing;

import cacheproxy.routing.InFlightRequests.TimerKind;
import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.Idempotency;
import cacheproxy.routing.RoutingApi.IdempotencyScope;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.SplittableRandom;

/** Decides whether another attempt is safe and what follows a failed one. */
record RetryPolicy(
    Settings settings,
    SplittableRandom random,
    InFlightRequests requests,
    TrafficEstimates estimates) {
  /** Cache nodes tried per request: the two with the highest CARP scores. */
  static final int CACHE_ATTEMPTS = 2;

  /** What happens to a request after an attempt. */
  enum NextStep {
    ADVANCE,
    WAIT,
    GIVE_UP
  }

  /** Whether an attempt sent to this node now can't cause the request to be executed twice. */
  boolean isSafeToSend(double now, InFlightRequest pending, Node node) {
    if (pending.attemptsInFlight > 0 && !(settings.mayHedge() && pending.idempotent)) {
      return false;
    }
    if (pending.idempotent || !pending.mayHaveRun()) {
      return true;
    }
    // The server checks the idempotency key when it has received the complete request, and that can
    // be delayed by as much as the connect timeout.
    double windowEndMs = pending.mayHaveRunSinceMs + pending.serviceClass.idempotencyWindowMs();
    return pending.serviceClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && now + settings.connectTimeoutMs() < windowEndMs
        && node.member.startedMs()
            <= pending.mayHaveRunSinceMs // a later start knows no earlier keys
        && sameGroup(
            pending.serviceClass.idempotencyScope(), pending.mayHaveRunMember, node.member);
  }

  private static boolean sameGroup(IdempotencyScope group, Member first, Member second) {
    return switch (group) {
      case ALL -> true;
      case ZONE -> first.zone() == second.zone();
      case CELL -> first.cell() == second.cell();
    };
  }

  boolean attemptsLeft(InFlightRequest pending) {
    return pending.attempts < settings.maxAttempts();
  }

  /** Whether the request has used its attempts at cache nodes, so that only the origin is left. */
  boolean triedEnoughCaches(InFlightRequest pending) {
    boolean attemptsSpent = pending.attempts >= CACHE_ATTEMPTS && pending.missedNode == null;
    return settings.cacheAside() && pending.idempotent && attemptsSpent;
  }

  /** Returns the next step after an attempt that gave no final answer. */
  NextStep afterAttempt(InFlightRequest pending, Node node, AttemptEnd end, Actions actions) {
    Outcome outcome = end.outcome();
    boolean write = pending.request.write();
    if (outcome == Outcome.MISS) {
      boolean mayWait =
          end.note() == RoutingApi.NOTE_FETCH_IN_FLIGHT
              && pending.attempts + 2 <= settings.maxAttempts();
      pending.missedNode = node;
      pending.goesToOrigin = !mayWait;
      if (mayWait) {
        return waitFor(estimates.fetchMs(), pending, actions);
      }
    } else if (node.isOrigin && write && outcome == Outcome.FULL && attemptsLeft(pending)) {
      return waitFor(estimates.fetchMs() * (0.5 + random.nextDouble()), pending, actions);
    }
    boolean failed =
        outcome == Outcome.ERROR || outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
    boolean retryableFailure = pending.idempotent && failed;
    if (retryableFailure) {
      // Retries of an error stay at the same node: an error doesn't show that the node is
      // unhealthy, and another node would not have the cached key. A node that returns only errors
      // costs a request two attempts before it goes to the origin.
      pending.retryNode = outcome == Outcome.ERROR && !node.isOrigin ? node : null;
    }
    // A fetch whose connection or server failed is retried once. A fetch that was rejected or timed
    // out is not, because it indicates that the origin is overloaded.
    if (node.isOrigin && !write && !retryableFailure) {
      return NextStep.GIVE_UP;
    }
    boolean free = pending.attemptsInFlight == 0 || pending.idempotent && settings.mayHedge();
    return free ? NextStep.ADVANCE : NextStep.WAIT;
  }

  private NextStep waitFor(double delayMs, InFlightRequest pending, Actions actions) {
    pending.waiting = true;
    actions.setTimer(delayMs, requests.newTimer(TimerKind.RETRY, pending));
    return NextStep.WAIT;
  }
}
