package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.RequestSummary;
import cacheproxy.routing.RoutingApi.ServiceClass;
import java.util.List;

/**
 * What comes, by what it is worth if it is served now, fading. What is too much for the processor
 * comes off what is worth least; a request that is late already counts as such.
 */
final class PriorityLevels {
  /** Halves in this time: the mix of classes changes slowly, that of late ones within a round. */
  static final double HALF_MS = 500;

  private final List<ServiceClass> classes;
  private final double[] worth;
  private final double[] asked;
  private double at;

  PriorityLevels(List<ServiceClass> classes) {
    this.classes = classes;
    worth = new double[2 * classes.size()];
    asked = new double[worth.length];
    for (int i = 0; i < worth.length; i++) {
      ServiceClass c = classes.get(i / 2);
      worth[i] = c.priorityWeight() * (i % 2 == 0 ? 1 : c.lateWeightFraction());
    }
  }

  int of(RequestSummary g, double pace) {
    boolean late = g.waitedMs() + pace > classes.get(g.serviceClass()).latencyObjectiveMs();
    return 2 * g.serviceClass() + (late ? 1 : 0);
  }

  void asked(double now, int rank) {
    double f = Math.pow(0.5, (now - at) / HALF_MS);
    at = now;
    for (int i = 0; i < asked.length; i++) {
      asked[i] *= f;
    }
    asked[rank]++;
  }

  /** The part of this rank to turn away so that in all the part {@code excess} is. */
  double partToReject(int rank, double excess) {
    double all = 0;
    double less = 0;
    double alike = 0;
    for (int i = 0; i < asked.length; i++) {
      all += asked[i];
      less += worth[i] < worth[rank] ? asked[i] : 0;
      alike += worth[i] == worth[rank] ? asked[i] : 0;
    }
    return Math.max(0, Math.min(1, (all * excess - less) / alike));
  }
}
