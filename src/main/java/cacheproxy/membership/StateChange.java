package cacheproxy.membership;

/**
 * A member's state has changed in this proxy's view.
 *
 * @param atMs when, on the clock of {@link Membership}'s caller
 * @param member the member's number
 * @param from its state before
 * @param to its state now
 * @param incarnation its incarnation number now
 * @param cause the reason in a few words: who suspected or confirmed, or what refuted
 */
public record StateChange(
    double atMs, int member, MemberState from, MemberState to, int incarnation, String cause) {}
