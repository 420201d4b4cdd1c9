package cacheproxy.routing;

import cacheproxy.routing.InFlightRequests.TimerKind;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Routing policy of one proxy instance. CARP selects the cache node for each request: the one with
 * the highest score. This class follows each request from its arrival to its final answer and
 * delegates each decision to the other classes of the package, which document where they deviate
 * from CARP. Not thread-safe: only one thread may use an instance.
 */
public final class Policy implements RoutingApi {
  /** Passed instead of an attempt number when no attempt is exempt from cancellation. */
  private static final int NO_ATTEMPT = -1;

  private final Settings settings;
  private final InFlightRequests requests = new InFlightRequests();
  private final TrafficEstimates estimates;
  private final EndpointList endpoints;
  private final ZoneOutages zones;
  private final OutlierEjection ejection;
  private final CandidateRanking ranking;
  private final HedgedRequests hedging;
  private final RetryPolicy retries;
  private final OverloadRejection rejection;

  /**
   * @throws IllegalArgumentException if the settings contain no service class or allow no attempt
   */
  public Policy(Settings settings, long seed) {
    InputValidator.check(settings);
    this.settings = settings;
    SplittableRandom random = new SplittableRandom(seed);
    estimates = new TrafficEstimates(settings.classes());
    endpoints = new EndpointList(settings, random, requests);
    zones = new ZoneOutages(settings);
    SlowStart slowStart = new SlowStart(settings, random, endpoints, estimates);
    TokenBucket trials = new TokenBucket(OutlierEjection.MAX_SAVED_TRIALS);
    ejection =
        new OutlierEjection(settings, random, endpoints, estimates, slowStart, zones, trials);
    ranking =
        new CandidateRanking(
            settings, random, endpoints, estimates, ejection, slowStart, new TopRanks());
    TokenBucket hedges = new TokenBucket(HedgedRequests.MAX_SAVED_HEDGES);
    hedging = new HedgedRequests(settings, estimates, hedges);
    retries = new RetryPolicy(settings, random, requests, estimates);
    rejection = new OverloadRejection(settings, random, estimates);
  }

  @Override
  public void onList(double now, ListKind kind, List<Member> members, Actions actions) {
    endpoints.onList(kind, members, actions);
  }

  @Override
  public void useTier(Tier tier) {
    endpoints.useTier(tier);
  }

  @Override
  public void onManualEjection(double now, int server, boolean eject, Actions actions) {
    endpoints.onManualEjection(now, server, eject, actions);
  }

  @Override
  public EndpointCounts endpointCounts(double now) {
    return endpoints.counts(now);
  }

  @Override
  public void onGossipedHealth(double now, int server, boolean ejected, Actions actions) {
    Node node = endpoints.find(server);
    if (node != null && !ejected) {
      node.resetAllFailures();
    } else if (node != null && settings.mayHedge()) {
      hedgeRequestsAt(now, waitsAt -> waitsAt == node, actions);
    }
  }

  /**
   * Hedges the idempotent requests whose last attempt is in flight at an affected node. Each
   * request gets one such hedge, so it is not charged to the hedge budget.
   */
  private void hedgeRequestsAt(double now, Predicate<Node> affected, Actions actions) {
    for (InFlightRequest pending : requests.snapshot()) {
      int last = pending.lastAttempt();
      boolean waits = last >= 0 && pending.idempotent && !pending.ended[last];
      if (waits && !pending.nodes[last].isOrigin && affected.test(pending.nodes[last])) {
        advance(now, pending, actions);
      }
    }
  }

  private void hedgeRequestsInZone(double now, int zone, Actions actions) {
    hedgeRequestsAt(now, node -> node.member.zone() == zone, actions);
  }

  @Override
  public double rejectForOverload(double now, RequestSummary request, double excess) {
    return rejection.rejectBeforeParsing(now, request, excess);
  }

  @Override
  public void onRequest(double now, Request request, Actions actions) {
    InputValidator.check(request, settings);
    if (request.costMs() > 0) {
      estimates.onCostHint(request.costMs());
    }
    rejection.onRequest(now, request.tenant());
    ejection.onRequest();
    ServiceClass serviceClass = settings.classes().get(request.serviceClass());
    InFlightRequest pending =
        new InFlightRequest(request, serviceClass, settings.maxAttempts(), now);
    requests.add(pending);
    double leftMs = Math.max(0, request.deadlineMs() - now);
    actions.setTimer(leftMs, requests.newTimer(TimerKind.DEADLINE, pending));
    pending.goesToOrigin = settings.cacheAside() && request.write();
    if (!pending.goesToOrigin && request.key() != 0) {
      ranking.countKey(now, pending);
    }
    advance(now, pending, actions);
  }

  /**
   * Performs the next step of a request: sends an attempt, waits for another request's fetch, or
   * gives the final answer.
   */
  private void advance(double now, InFlightRequest pending, Actions actions) {
    pending.waiting = false;
    if (pending.finished || pending.streaming) {
      return;
    }
    boolean objectiveMissed = hasNoValueWhenLate(pending) && now > pending.objectiveEndMs();
    // Load shedding is decided before the node is chosen: the choice may use up an ejected node's
    // only trial, which must then be sent.
    if (objectiveMissed || isShed(now, pending)) {
      giveUp(now, pending, actions);
      return;
    }
    Node node = nextNode(now, pending, actions);
    if (node == null || !retries.isSafeToSend(now, pending, node)) {
      giveUp(now, pending, actions);
    } else if (node != endpoints.origin || mayFetch(now, pending, actions)) {
      send(now, pending, node, actions);
    }
  }

  /**
   * Whether the request can be given up at no loss once its latency objective has passed: it is
   * idempotent and a late answer has no weight.
   */
  private static boolean hasNoValueWhenLate(InFlightRequest pending) {
    return pending.idempotent && pending.serviceClass.lateWeightFraction() == 0;
  }

  private boolean isShed(double now, InFlightRequest pending) {
    boolean firstRead = pending.attempts == 0 && pending.idempotent && !pending.goesToOrigin;
    return firstRead && endpoints.ranked.length > 0 && rejection.rejectsRead(now, pending);
  }

  /**
   * Returns the node for the next attempt; null if there is no such node, no attempt is left, or
   * the deadline has passed.
   */
  private Node nextNode(double now, InFlightRequest pending, Actions actions) {
    if (!retries.attemptsLeft(pending) || now >= pending.request.deadlineMs()) {
      return null;
    }
    if (pending.goesToOrigin || retries.triedEnoughCaches(pending)) {
      return endpoints.origin;
    }
    Node node = ranking.choose(now, pending, actions);
    boolean originCanServe = settings.cacheAside() && pending.idempotent;
    return node == null && originCanServe ? endpoints.origin : node;
  }

  /**
   * Whether the request may be sent to the origin now. Otherwise it waits for another request's
   * fetch of the same key, or has been given up.
   */
  private boolean mayFetch(double now, InFlightRequest pending, Actions actions) {
    if (pending.request.write() || pending.request.key() == 0) {
      estimates.originThrottle.countAttempt(now);
      return true;
    }
    InFlightRequest leader = requests.fetchLeader(pending.request.key());
    if (leader != null) {
      pending.waiting = leader != pending && leader.followers.add(pending);
      return false;
    }
    if (rejection.rejectsFetch(now, pending)) {
      giveUp(now, pending, actions);
      return false;
    }
    requests.leadFetch(pending);
    return true;
  }

  private void send(double now, InFlightRequest pending, Node node, Actions actions) {
    int attempt = pending.attempts++;
    pending.nodes[attempt] = node;
    pending.members[attempt] = node.member;
    pending.sentMs[attempt] = now;
    pending.attemptsInFlight++;
    boolean toCache = node != endpoints.origin;
    boolean endsWithObjective = toCache && hasNoValueWhenLate(pending);
    double timeoutMs = endsWithObjective ? Math.max(1, pending.objectiveEndMs() - now) : 0;
    actions.sendAttempt(pending.request.id(), node.id, timeoutMs);
    boolean mayHedge = pending.idempotent && retries.attemptsLeft(pending);
    if (toCache && mayHedge && pending.attempts <= RetryPolicy.CACHE_ATTEMPTS) {
      actions.setTimer(hedging.delayMs(now, pending), requests.newTimer(TimerKind.HEDGE, pending));
    }
  }

  /**
   * Handles an attempt that is overdue: counts it against its node and hedges the request if the
   * budget allows.
   */
  private void onOverdue(double now, InFlightRequest pending, Actions actions) {
    int last = pending.lastAttempt();
    Node node = pending.nodes[last];
    if (pending.finished || pending.streaming || pending.ended[last] || node.isOrigin) {
      return;
    }
    ejection.onOverdue(now, pending, node, pending.sentMs[last]);
    int zone = node.member.zone();
    if (zones.onNoAnswer(now, zone, node.id, ZoneOutages.WEAK_EVIDENCE_WEIGHT, actions)) {
      hedgeRequestsInZone(now, zone, actions);
    } else if (hedging.trySpend(now, pending)) {
      if (settings.mayHedge()) {
        advance(now, pending, actions);
      } else {
        actions.cancelAttempt(pending.request.id(), last);
      }
    }
  }

  private void giveUp(double now, InFlightRequest pending, Actions actions) {
    if (pending.attemptsInFlight > 0 && pending.idempotent) {
      return;
    }
    answer(now, pending, actions);
    requests.finish(pending, actions::cancelTimer);
  }

  /**
   * Gives the final answer. A request that is not idempotent is rejected, which invites a retry,
   * only if no attempt may have been executed.
   */
  private void answer(double now, InFlightRequest pending, Actions actions) {
    boolean harmless = !pending.mayHaveRun() && pending.attemptsInFlight == 0;
    if (pending.idempotent || harmless) {
      actions.reject(pending.request.id(), rejection.retryAfterMs(now));
    } else {
      actions.fail(pending.request.id());
    }
  }

  @Override
  public void onAttemptEnd(double now, AttemptEnd end, Actions actions) {
    InFlightRequest pending = requests.find(end.request());
    int attempt = end.attempt();
    if (pending == null || attempt >= pending.attempts || pending.ended[attempt]) {
      return;
    }
    Node node = pending.nodes[attempt];
    pending.ended[attempt] = true;
    pending.attemptsInFlight--;
    hedging.onAttemptEnd(pending, node, end);
    if (ejection.onAttemptEnd(now, pending, node, end, actions)) {
      hedgeRequestsInZone(now, node.member.zone(), actions);
    }
    if (end.outcome().mayHaveRun() && !pending.mayHaveRun()) {
      pending.mayHaveRunSinceMs = pending.sentMs[attempt];
      pending.mayHaveRunMember = pending.members[attempt];
    }
    boolean wasFinished = pending.finished;
    if (end.finalAnswer() || wasFinished) {
      requests.finish(pending, actions::cancelTimer);
    }
    if (pending.followers != null && attempt == pending.fetchAttempt) {
      endFetch(now, pending, end.outcome() == Outcome.OK, actions);
    }
    if (!wasFinished && end.finalAnswer()) {
      cancelAttemptsExcept(NO_ATTEMPT, pending, actions);
    } else if (!pending.finished) {
      switch (retries.afterAttempt(pending, node, end, actions)) {
        case ADVANCE -> advance(now, pending, actions);
        case GIVE_UP -> giveUp(now, pending, actions);
        case WAIT -> {}
      }
    }
  }

  private void cancelAttemptsExcept(int keptAttempt, InFlightRequest pending, Actions actions) {
    for (int attempt = 0; settings.mayCancel() && attempt < pending.attempts; attempt++) {
      if (attempt != keptAttempt && !pending.ended[attempt]) {
        actions.cancelAttempt(pending.request.id(), attempt);
      }
    }
  }

  /**
   * Ends a coalesced fetch. If the object was stored, the followers read it from the cache node
   * where they missed it; otherwise one of them fetches it.
   */
  private void endFetch(double now, InFlightRequest leader, boolean stored, Actions actions) {
    for (InFlightRequest follower : requests.endFetch(leader)) {
      if (!follower.finished && follower.waiting) {
        follower.goesToOrigin = !stored || follower.attempts + 2 > settings.maxAttempts();
        advance(now, follower, actions);
      }
    }
  }

  @Override
  public void onFirstByte(double now, int request, int attempt, int server, Actions actions) {
    InFlightRequest pending = requests.find(request);
    if (pending == null || pending.finished) {
      return;
    }
    pending.streaming = true;
    if (pending.followers != null && attempt == pending.fetchAttempt) {
      // The object is in the cache node by now; its transfer to this client may be slow, and the
      // followers must not wait for that.
      endFetch(now, pending, true, actions);
    }
    if (pending.followers == null) {
      cancelAttemptsExcept(attempt, pending, actions);
    }
  }

  @Override
  public void onClientGone(double now, int request, Actions actions) {
    InFlightRequest pending = requests.find(request);
    if (pending != null && !pending.finished) {
      abandon(pending, actions);
    }
  }

  /** Ends a request that no server has answered. A fetch that other requests wait for continues. */
  private void abandon(InFlightRequest pending, Actions actions) {
    requests.finish(pending, actions::cancelTimer);
    boolean followed = pending.followers != null && !pending.followers.isEmpty();
    if (!pending.streaming && !followed) {
      cancelAttemptsExcept(NO_ATTEMPT, pending, actions);
    }
  }

  @Override
  public void onTimer(double now, int token, Actions actions) {
    TimerKind kind = InFlightRequests.timerKind(token);
    InFlightRequest pending = requests.takeTimer(token);
    if (kind == TimerKind.POLL_ENDPOINTS) {
      endpoints.onPollTimer(actions);
    } else if (pending == null) {
      return;
    } else if (kind == TimerKind.HEDGE) {
      onOverdue(now, pending, actions);
    } else if (kind == TimerKind.RETRY && pending.waiting) {
      advance(now, pending, actions);
    } else if (kind == TimerKind.DEADLINE && !pending.finished && !pending.streaming) {
      answer(now, pending, actions);
      abandon(pending, actions);
    }
  }

  @Override
  public void onHealthCheck(
      double now, int server, Outcome outcome, double elapsedMs, float[] report, Actions actions) {
    Node node = endpoints.find(server);
    if (node != null && node.ejections > 0) {
      ejection.onHealthCheck(now, node, outcome, elapsedMs);
    }
  }

  @Override
  public void onPeerMessage(double now, int peer, byte[] message, Actions actions) {
    Optional<ZoneUnresponsiveMessage> report = ZoneUnresponsiveMessage.decode(message);
    if (report.isPresent() && zones.onPeerReport(now, report.get(), actions)) {
      hedgeRequestsInZone(now, report.get().unresponsiveZone(), actions);
    }
  }
}
