package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.membership.Timing;
import cacheproxy.shared.SharedStateSettings;
import java.util.Optional;

/**
 * What an operator may set.
 *
 * @param limits bounds on connections, memory and slow peers
 * @param loadShedding when requests are rejected for lack of processor time
 * @param membership times of the tier's membership; empty: this proxy is no member, and no class of
 *     it is loaded
 * @param sharedState what is shared with the tier; empty: nothing is, and no class of it is loaded
 */
record OperatorOptions(
    Limits limits,
    LoadShedding loadShedding,
    Optional<Timing> membership,
    Optional<SharedStateSettings> sharedState) {
  /** What holds without an operator's file. */
  static OperatorOptions defaults(Limits limits) {
    return new OperatorOptions(
        limits, LoadShedding.BY_LATENCY_OBJECTIVES, Optional.empty(), Optional.empty());
  }

  OperatorOptions with(Limits otherLimits) {
    return new OperatorOptions(otherLimits, loadShedding, membership, sharedState);
  }

  OperatorOptions with(LoadShedding otherLoadShedding) {
    return new OperatorOptions(limits, otherLoadShedding, membership, sharedState);
  }
}
