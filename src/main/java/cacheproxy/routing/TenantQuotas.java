package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Tenant;
import java.util.List;

/**
 * Exponentially decayed counts of the requests of each tenant at this instance. Under overload,
 * requests of the tenants furthest above their quotas are rejected first (max-min fairness),
 * because requests over quota have little weight.
 */
final class TenantQuotas {
  /** Prevents a division by zero for a tenant without a quota. */
  private static final double MIN_QUOTA = 1e-9;

  /** Steps of the bisection for the multiple of its quota that each tenant may use. */
  private static final int BISECTIONS = 24;

  private final List<Tenant> tenants;
  private final double[] requests;
  private double updatedMs;

  TenantQuotas(List<Tenant> tenants) {
    this.tenants = tenants;
    requests = new double[tenants.size()];
  }

  void countRequest(double now, int tenant) {
    double factor = AdaptiveThrottle.decay(now - updatedMs);
    updatedMs = now;
    for (int i = 0; i < requests.length; i++) {
      requests[i] *= factor;
    }
    requests[tenant]++;
  }

  /**
   * Returns the requests that a tenant may have if each tenant is limited to this multiple of its
   * quota.
   */
  private double granted(int tenant, double multiple) {
    return Math.min(requests[tenant], multiple * tenants.get(tenant).quotaPerSecond());
  }

  /**
   * Returns the fraction of the tenant's requests to reject, such that in total the fraction {@code
   * excess} is rejected.
   */
  double fractionToReject(int tenant, double excess) {
    if (requests[tenant] <= 0) {
      return excess;
    }
    double targetSum = 0;
    double high = 0;
    for (int i = 0; i < requests.length; i++) {
      targetSum += requests[i] * (1 - excess);
      high = Math.max(high, requests[i] / Math.max(MIN_QUOTA, tenants.get(i).quotaPerSecond()));
    }
    double low = 0;
    for (int step = 0; step < BISECTIONS; step++) {
      double middle = (low + high) / 2;
      double sum = 0;
      for (int i = 0; i < requests.length; i++) {
        sum += granted(i, middle);
      }
      if (sum < targetSum) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return 1 - granted(tenant, high) / requests[tenant];
  }
}
