package cacheproxy.membership;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A snapshot of one proxy's view of its tier. The view is a hint and may be out of date.
 *
 * @param self this proxy's number
 * @param unreliable whether the proxy distrusts its own failure detector and suspects nobody
 * @param healthScore local health as in Lifeguard: 0 is healthy, each step gives others more time
 * @param roundTripMs the median of the latest round-trip times; empty: none was measured
 * @param members all members, by number
 * @param sentMessages messages sent since the start
 * @param sentBytes bytes sent since the start
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
   * @param stateAgeMs for how long it has been in this state
   * @param sinceHeardMs time since a message from the member itself; empty: none has come
   * @param direct false if this proxy's last probe failed although others hear the member
   * @param accusers members whose probes failed, if it is suspected
   */
  public record Member(
      MemberState state,
      int incarnation,
      double stateAgeMs,
      OptionalDouble sinceHeardMs,
      boolean direct,
      List<Integer> accusers) {}
}
