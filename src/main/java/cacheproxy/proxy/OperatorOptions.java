package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.membership.Timing;
import cacheproxy.shared.SharedStateSettings;
import java.util.Optional;

/**
 * The options that the operator's file may override.
 *
 * @param limits limits on connections, buffer memory and slow peers
 * @param loadShedding whether and when requests are rejected because the processor is overloaded
 * @param membership the timing of the membership protocol; if empty, this proxy is not a member and
 *     loads none of the membership classes
 * @param sharedState the settings of the state shared with the tier; if empty, this proxy shares no
 *     state and loads none of the classes for it
 */
record OperatorOptions(
    Limits limits,
    LoadShedding loadShedding,
    Optional<Timing> membership,
    Optional<SharedStateSettings> sharedState) {
  /** Returns the options that apply without an operator's file. */
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
