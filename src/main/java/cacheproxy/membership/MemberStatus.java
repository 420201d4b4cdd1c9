package cacheproxy.membership;

/**
 * The state of a member at one of its incarnations.
 *
 * @param state the state
 * @param incarnation the member's incarnation number, see {@link Incarnation}
 */
record MemberStatus(MemberState state, int incarnation) {
  /** The status of a member about which nothing is known. */
  static final MemberStatus UNKNOWN = new MemberStatus(MemberState.UNKNOWN, 0);

  /**
   * Returns whether this status overrides {@code held}. It does if its incarnation is newer, or if
   * the incarnation is the same and the state is declared later in {@link MemberState}.
   */
  boolean overrides(MemberStatus held) {
    return Incarnation.isNewer(incarnation, held.incarnation)
        || incarnation == held.incarnation && state.ordinal() > held.state.ordinal();
  }
}
