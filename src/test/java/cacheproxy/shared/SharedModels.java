package cacheproxy.shared;

import cacheproxy.model.SharedModel;
import cacheproxy.model.SharedModel.Plan;
import cacheproxy.shared.SharedState.Safeguard;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;

/** Tiers in virtual time that the tests of shared state have in common. */
final class SharedModels {
  static final int SEEDS = 5;

  static Plan plan(int n, long seed, boolean sharing) {
    return n == 100
        ? new Plan(100, 200, 4, 20, seed, sharing)
        : new Plan(n, 5 * n, 4, n == 14 ? 40 : 100, seed, sharing);
  }

  static SharedModel model(int n, long seed, HealthVerdicts.Safeguard... without) {
    return new SharedModel(plan(n, seed, true), Set.of(), without).run(10_000);
  }

  static SharedModel without(int n, long seed, Safeguard part) {
    return new SharedModel(plan(n, seed, true), EnumSet.of(part)).run(10_000);
  }

  /** How long until so many pass it over; infinite: not within 20 s. */
  static double until(SharedModel tier, int node, boolean most, double part, int n) {
    double began = tier.nowMs();
    while (tier.nowMs() - began < 20_000) {
      tier.run(20);
      if (most ? tier.passOver(node) >= part * n : tier.passOver(node) <= (1 - part) * n) {
        return tier.nowMs() - began;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  static double median(double[] of) {
    double[] sorted = of.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private SharedModels() {}
}
