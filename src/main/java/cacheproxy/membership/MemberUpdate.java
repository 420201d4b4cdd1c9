package cacheproxy.membership;

import java.util.OptionalInt;

/**
 * A change of one member's status, disseminated with other messages.
 *
 * @param member the member's number
 * @param status its new status
 * @param accuser a member whose own probe failed; empty if the update is no suspicion or the
 *     accuser is not known
 */
record MemberUpdate(int member, MemberStatus status, OptionalInt accuser) {}
