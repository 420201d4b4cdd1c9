package cacheproxy.membership;

import java.util.Set;
import java.util.SplittableRandom;

/**
 * The state that the parts of one member's protocol share.
 *
 * @param timing intervals and timeouts
 * @param self this proxy's own number, state and incarnation
 * @param members what is held of each member
 * @param suspicions who accuses the suspects, and since when
 * @param health how far the own failure detector is trusted
 * @param enabled the mechanisms in use
 * @param random the one source of random choices, so that a seed determines all of them
 */
record ProtocolState(
    Timing timing,
    LocalMember self,
    MemberTable members,
    SuspicionTable suspicions,
    LocalHealth health,
    Set<Mechanism> enabled,
    SplittableRandom random) {

  /** Creates the state of a member that starts. */
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
