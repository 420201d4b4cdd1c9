package cacheproxy.membership;

/**
 * The state of a member in one proxy's view. Of two states with the same incarnation, the one
 * declared later here overrides the earlier one. The ordinals are sent on the wire and the names
 * appear in JSON and in the log, so neither may change.
 */
public enum MemberState {
  /** Nothing is known about the member yet. */
  UNKNOWN,
  /** The member's process runs but does not accept clients yet. Reported by the member itself. */
  STARTING,
  /**
   * The member accepts clients. Reported by the member itself, or by an observer that has received
   * a message from it since it was suspected.
   */
  ALIVE,
  /**
   * A probe of the member has failed, both directly and indirectly. The member can refute the
   * suspicion until a timeout.
   */
  SUSPECT,
  /** The member is shutting down gracefully. Reported by the member itself. */
  LEAVING,
  /**
   * The suspicion was not refuted in time. Each member decides this by its own clock; DEAD in a
   * message from another member counts as one more suspicion.
   */
  DEAD,
  /** The member was {@link #LEAVING} and its time to shut down is over. */
  GONE;

  /** Returns whether this state is an accusation by other members, which the member can refute. */
  public boolean isAccusation() {
    return this == SUSPECT || this == DEAD;
  }

  /** Returns whether the member's process is considered to be running. This includes suspects. */
  public boolean isPresent() {
    return this == STARTING || this == ALIVE || this == SUSPECT || this == LEAVING;
  }

  /**
   * Returns whether the member's process is considered to have ended. Such members are probed only
   * rarely.
   */
  public boolean isAbsent() {
    return this == DEAD || this == GONE;
  }
}
