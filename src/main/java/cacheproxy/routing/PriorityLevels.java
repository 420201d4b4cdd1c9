package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.RequestSummary;
import cacheproxy.routing.RoutingApi.ServiceClass;
import java.util.List;

/**
 * Decaying counts of what arrives, by its priority weight if it is served now; each class has one
 * level for requests in time and one for late ones. What is too much for the processor is taken
 * from the levels of least weight.
 */
final class PriorityLevels {
  /** Half-life: the mix of classes changes slowly, that of late requests quickly. */
  private static final double HALF_LIFE_MS = 500;

  private final List<ServiceClass> classes;
  private final double[] weight;
  private final double[] asked;
  private double updatedMs;

  PriorityLevels(List<ServiceClass> classes) {
    this.classes = classes;
    weight = new double[2 * classes.size()];
    asked = new double[weight.length];
    for (int i = 0; i < weight.length; i++) {
      ServiceClass serviceClass = classes.get(i / 2);
      weight[i] =
          serviceClass.priorityWeight() * (i % 2 == 0 ? 1 : serviceClass.lateWeightFraction());
    }
  }

  /** The level of a request that is answered after {@code answerMs}. */
  int of(RequestSummary request, double answerMs) {
    double objectiveMs = classes.get(request.serviceClass()).latencyObjectiveMs();
    boolean late = request.waitedMs() + answerMs > objectiveMs;
    return 2 * request.serviceClass() + (late ? 1 : 0);
  }

  /** Counts a request of this level. */
  void asked(double now, int level) {
    double factor = Math.pow(0.5, (now - updatedMs) / HALF_LIFE_MS);
    updatedMs = now;
    for (int i = 0; i < asked.length; i++) {
      asked[i] *= factor;
    }
    asked[level]++;
  }

  /** The part of the level to reject so that the part {@code excess} of all is rejected. */
  double partToReject(int level, double excess) {
    double all = 0;
    double less = 0;
    double alike = 0;
    for (int i = 0; i < asked.length; i++) {
      all += asked[i];
      less += weight[i] < weight[level] ? asked[i] : 0;
      alike += weight[i] == weight[level] ? asked[i] : 0;
    }
    return Math.max(0, Math.min(1, (all * excess - less) / alike));
  }
}
