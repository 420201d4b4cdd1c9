package cacheproxy.membership;

import java.util.OptionalInt;

/**
 * A change of one member's status, piggybacked on the protocol's messages.
 *
 * @param member the member's number
 * @param status its new status
 * @param accuser a member whose own probe of this member failed; empty if the update is not a
 *     suspicion or the accuser is unknown
 */
record MemberUpdate(int member, MemberStatus status, OptionalInt accuser) {}
