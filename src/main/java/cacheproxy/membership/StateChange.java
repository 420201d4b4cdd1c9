package cacheproxy.membership;

/**
 * A change of a member's state in this proxy's view.
 *
 * @param atMs the time of the change, on the clock of {@link Membership}'s caller
 * @param member the member's number
 * @param from the previous state
 * @param to the new state
 * @param incarnation the member's incarnation number after the change
 * @param cause a short text for operators, such as which members accused the member, or why a
 *     suspicion was refuted
 */
public record StateChange(
    double atMs, int member, MemberState from, MemberState to, int incarnation, String cause) {}
