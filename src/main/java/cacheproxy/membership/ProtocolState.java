package cacheproxy.membership;

import java.util.Set;
import java.util.SplittableRandom;

/**
 * State shared by the components of one member's protocol.
 *
 * @param timing intervals and timeouts
 * @param self this proxy's own number, state and incarnation
 * @param members the status of each member in this proxy's view
 * @param suspicions the accusers of each suspect and the time since which it is suspected
 * @param health whether this proxy's own failure detector can be trusted
 * @param enabled the mechanisms in use
 * @param random the only source of random numbers, so that one seed determines all random choices
 */
record ProtocolState(
    Timing timing,
    LocalMember self,
    MemberTable members,
    SuspicionTable suspicions,
    LocalHealth health,
    Set<Mechanism> enabled,
    SplittableRandom random) {

  /** Creates the initial state of a member that is starting. */
  static ProtocolState create(
      int tierSize,
      int self,
      Timing timing,
      Set<Mechanism> enabled,
      SplittableRandom random,
      double nowMs) {
    SuspicionTable suspicions = new SuspicionTable(tierSize);
    return new ProtocolState(
        timing,
        new LocalMember(self),
        new MemberTable(tierSize, suspicions, nowMs),
        suspicions,
        new LocalHealth(timing.pauseThresholdMs(), tierSize, enabled, nowMs),
        enabled,
        random);
  }

  boolean isEnabled(Mechanism mechanism) {
    return enabled.contains(mechanism);
  }
}
