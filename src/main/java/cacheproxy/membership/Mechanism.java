package cacheproxy.membership;

/**
 * Mechanisms of the protocol that tests and models can disable to show their effect. All are
 * enabled in production.
 */
public enum Mechanism {
  /** When a direct probe is not answered, other members are asked to probe the target. */
  INDIRECT_PROBES,
  /** Suspicions by further members shorten the time that a suspect has to refute. */
  CONFIRMATIONS,
  /**
   * A member that has received a message from a suspect since the accusation refutes the suspicion
   * on the suspect's behalf.
   */
  OBSERVER_REFUTATION,
  /**
   * A member that was paused or receives no messages treats its own failure detector as unreliable.
   */
  LOCAL_FAULT_DETECTION,
  /** Members that are considered dead are still probed occasionally, so that partitions merge. */
  DEAD_PROBES,
  /** Timeouts and the number of probe attempts increase when this proxy's probes fail. */
  LOCAL_HEALTH,
  /** Delayed messages from earlier processes of a member are recognized as outdated. */
  PROCESS_IDS,
  /** Updates from a member that is configured with another tier size are ignored. */
  TIER_SIZE_CHECK
}
