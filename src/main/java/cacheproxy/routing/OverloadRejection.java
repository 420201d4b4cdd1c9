package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.RequestSummary;
import cacheproxy.routing.RoutingApi.Settings;
import java.util.SplittableRandom;

/**
 * Load shedding: rejects requests that this instance's processor, the cache nodes or the origin
 * can't serve, and computes the Retry-After advice.
 */
final class OverloadRejection {
  private final Settings settings;
  private final SplittableRandom random;
  private final TrafficEstimates estimates;

  /** First attempts and retries of clients that arrive at this instance. */
  private final AdaptiveThrottle arrivals = new AdaptiveThrottle();

  private final PriorityLevels priorities;

  /**
   * Null if tenants are not weighted by quota; null instead of {@code Optional} because it is read
   * for each request.
   */
  private final TenantQuotas quotas;

  OverloadRejection(Settings settings, SplittableRandom random, TrafficEstimates estimates) {
    this.settings = settings;
    this.random = random;
    this.estimates = estimates;
    priorities = new PriorityLevels(settings.classes());
    boolean limited = settings.overQuotaWeight() < 1 && settings.tenants().size() > 1;
    quotas = limited ? new TenantQuotas(settings.tenants()) : null;
  }

  /** Implements {@link RoutingApi#rejectForOverload}. */
  double rejectBeforeParsing(double now, RequestSummary request, double excess) {
    int level = priorities.levelOf(request, estimates.answerMs());
    priorities.countRequest(now, level);
    // A request without enough time left for an answer of estimated latency would only delay other
    // requests.
    boolean cannotAnswerInTime = request.waitedMs() + estimates.answerMs() > request.timeBudgetMs();
    double fraction = excess > 0 ? priorities.fractionToReject(level, excess) : 0;
    if (!cannotAnswerInTime
        && !rejects(now, request.retry(), request.tenant(), arrivals, fraction)) {
      return RoutingApi.ADMITTED;
    }
    onRequest(now, request.tenant()); // an admitted request is counted when it reaches onRequest
    return settings.mayAdviseRetryAfter() ? retryAfterAdviceMs(2 * excess) : 0;
  }

  void onRequest(double now, int tenant) {
    if (quotas != null) {
      quotas.countRequest(now, tenant);
    }
  }

  /** Whether to reject a read because the cache nodes answer too few attempts in time. */
  boolean rejectsRead(double now, InFlightRequest pending) {
    return rejects(
        now, pending, estimates.cacheThrottle, estimates.cacheThrottle.excessFraction(now));
  }

  /** Whether to reject a read because the origin answers too few fetches in time. */
  boolean rejectsFetch(double now, InFlightRequest pending) {
    double excess = estimates.originThrottle.excessFraction(now);
    if (excess > 0 && now + estimates.fetchMs() > pending.objectiveEndMs()) {
      return true; // not counted as an attempt, because otherwise the throttle would never reopen
    }
    estimates.originThrottle.countAttempt(now);
    return rejects(now, pending, estimates.originThrottle, excess);
  }

  private boolean rejects(
      double now, InFlightRequest pending, AdaptiveThrottle throttle, double excess) {
    return rejects(now, pending.request.retry(), pending.request.tenant(), throttle, excess);
  }

  /**
   * Decides at random whether to reject this request, such that in total the fraction {@code
   * excess} is rejected.
   */
  private boolean rejects(
      double now, boolean retry, int tenant, AdaptiveThrottle throttle, double excess) {
    double fraction = throttle.fractionToReject(now, retry, excess);
    if (excess <= 0) {
      return false;
    }
    return random.nextDouble()
        < (quotas == null ? fraction : quotas.fractionToReject(tenant, excess));
  }

  /**
   * Returns the Retry-After advice of a rejection; 0 for no advice. The advice grows with the
   * overload, because a stronger overload lasts longer.
   */
  double retryAfterMs(double now) {
    if (!settings.mayAdviseRetryAfter()) {
      return 0;
    }
    double pressure =
        Math.max(
            estimates.cacheThrottle.attemptsPerAnswer(now),
            estimates.originThrottle.attemptsPerAnswer(now));
    double overload = pressure - AdaptiveThrottle.MAX_ATTEMPTS_PER_ANSWER;
    return overload <= 0 ? 0 : retryAfterAdviceMs(overload);
  }

  /**
   * Returns Retry-After advice with random jitter, which keeps rejected clients from returning all
   * at once.
   */
  private double retryAfterAdviceMs(double overload) {
    double jitter = 0.5 + random.nextDouble() / 2;
    return settings.maxRetryAfterMs() * Math.min(1, overload) * jitter;
  }
}
