package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Tenant;
import java.util.List;

/**
 * What each tenant asks of this instance, fading. What must be refused comes off those that ask
 * most over their quotas (max-min fair), as that is worth little. Clients' repeats swell all alike.
 */
final class TenantQuotas {
  private final List<Tenant> tenants;
  private final double[] asked;
  private double at;

  TenantQuotas(List<Tenant> tenants) {
    this.tenants = tenants;
    asked = new double[tenants.size()];
  }

  void asked(double now, int tenant) {
    double f = AdaptiveThrottle.left(now - at);
    at = now;
    for (int t = 0; t < asked.length; t++) {
      asked[t] *= f;
    }
    asked[tenant]++;
  }

  private double granted(int tenant, double multiple) {
    return Math.min(asked[tenant], multiple * tenants.get(tenant).quotaPerSecond());
  }

  /**
   * The part of this tenant's requests to refuse so that in all the part {@code excess} is refused.
   */
  double partToReject(int tenant, double excess) {
    if (asked[tenant] <= 0) {
      return excess;
    }
    double goal = 0;
    double high = 0;
    for (int t = 0; t < asked.length; t++) {
      goal += asked[t] * (1 - excess);
      high = Math.max(high, asked[t] / Math.max(1e-9, tenants.get(t).quotaPerSecond()));
    }
    double low = 0;
    for (int step = 0; step < 24; step++) {
      double middle = (low + high) / 2;
      double sum = 0;
      for (int t = 0; t < asked.length; t++) {
        sum += granted(t, middle);
      }
      if (sum < goal) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return 1 - granted(tenant, high) / asked[tenant];
  }
}
