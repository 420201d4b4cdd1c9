package cacheproxy.membership;

/**
 * The state of a member in one proxy's view. At one incarnation a later constant overrides an
 * earlier one. The ordinals are sent on the wire and the names appear in JSON and in the log, so
 * neither may change.
 */
public enum MemberState {
  /** No proxy has heard of the member yet. */
  UNKNOWN,
  /** The member's process runs but does not accept clients yet. Reported by the member itself. */
  STARTING,
  /**
   * The member accepts clients. Reported by the member itself, or by a witness that has heard from
   * it since it was suspected.
   */
  ALIVE,
  /** A probe failed, directly and indirectly; the member has time to refute the suspicion. */
  SUSPECT,
  /** The member is shutting down gracefully. Reported by the member itself. */
  LEAVING,
  /**
   * The suspicion was not refuted in time. Each member decides this alone; received from another it
   * counts as one more suspicion.
   */
  DEAD,
  /** The member has left after it was {@link #LEAVING}. */
  GONE;

  /** Returns whether this state is an accusation by others, which the member can refute. */
  public boolean isAccusation() {
    return this == SUSPECT || this == DEAD;
  }

  /** Returns whether the member's process is believed to run, suspected or not. */
  public boolean isPresent() {
    return this == STARTING || this == ALIVE || this == SUSPECT || this == LEAVING;
  }

  /** Returns whether the member is believed to have ended, so that it is probed only rarely. */
  public boolean isAbsent() {
    return this == DEAD || this == GONE;
  }
}
