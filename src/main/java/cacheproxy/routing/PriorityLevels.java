package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.RequestSummary;
import cacheproxy.routing.RoutingApi.ServiceClass;
import java.util.List;

/**
 * Exponentially decayed counts of arriving requests by priority level. Each service class has one
 * level for requests that can still be answered within the latency objective and one for late
 * requests. When the processor is overloaded, requests of the levels with the lowest weight are
 * rejected first.
 */
final class PriorityLevels {
  /**
   * Half-life of the counts. The mix of service classes changes slowly, but the fraction of late
   * requests changes quickly.
   */
  private static final double HALF_LIFE_MS = 500;

  private final List<ServiceClass> classes;
  private final double[] weight;
  private final double[] requests;
  private double updatedMs;

  PriorityLevels(List<ServiceClass> classes) {
    this.classes = classes;
    weight = new double[2 * classes.size()];
    requests = new double[weight.length];
    for (int i = 0; i < weight.length; i++) {
      ServiceClass serviceClass = classes.get(i / 2);
      weight[i] =
          serviceClass.priorityWeight() * (i % 2 == 0 ? 1 : serviceClass.lateWeightFraction());
    }
  }

  /** Returns the priority level of a request that would be answered {@code answerMs} from now. */
  int levelOf(RequestSummary request, double answerMs) {
    double objectiveMs = classes.get(request.serviceClass()).latencyObjectiveMs();
    boolean late = request.waitedMs() + answerMs > objectiveMs;
    return 2 * request.serviceClass() + (late ? 1 : 0);
  }

  void countRequest(double now, int level) {
    double factor = Math.pow(0.5, (now - updatedMs) / HALF_LIFE_MS);
    updatedMs = now;
    for (int i = 0; i < requests.length; i++) {
      requests[i] *= factor;
    }
    requests[level]++;
  }

  /**
   * Returns the fraction of this level to reject, such that in total the fraction {@code excess} is
   * rejected.
   */
  double fractionToReject(int level, double excess) {
    double all = 0;
    double lowerWeight = 0;
    double sameWeight = 0;
    for (int i = 0; i < requests.length; i++) {
      all += requests[i];
      lowerWeight += weight[i] < weight[level] ? requests[i] : 0;
      sameWeight += weight[i] == weight[level] ? requests[i] : 0;
    }
    return Math.max(0, Math.min(1, (all * excess - lowerWeight) / sameWeight));
  }
}
