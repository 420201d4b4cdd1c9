package cacheproxy.membership;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A snapshot of one proxy's view of its tier. The view may be out of date.
 *
 * @param self this proxy's number
 * @param unreliable whether the proxy's own failure detector is unreliable, so that the proxy
 *     suspects no member
 * @param healthScore Lifeguard's local health multiplier. 0 is healthy; higher scores lengthen the
 *     timeouts for other members
 * @param roundTripMs the median of the latest round-trip times, or empty if none has been measured
 * @param members all members, indexed by number
 * @param sentMessages the number of messages sent since the process started
 * @param sentBytes the number of bytes sent since the process started
 */
public record MembershipView(
    int self,
    boolean unreliable,
    int healthScore,
    OptionalDouble roundTripMs,
    List<Member> members,
    long sentMessages,
    long sentBytes) {
  /**
   * One member in the view.
   *
   * @param state its state
   * @param incarnation its incarnation number
   * @param stateAgeMs how long it has been in this state
   * @param sinceHeardMs the time since the last message from the member itself, or empty if none
   *     has been received
   * @param direct false if this proxy's last direct probe of the member was not answered and no
   *     message from it has been received since
   * @param accusers the members whose probes of it failed; empty if it is not suspected
   */
  public record Member(
      MemberState state,
      int incarnation,
      double stateAgeMs,
      OptionalDouble sinceHeardMs,
      boolean direct,
      List<Integer> accusers) {}
}
