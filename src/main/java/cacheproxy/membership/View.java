package cacheproxy.membership;

import java.util.List;

/**
 * What one proxy believes of its tier, for who looks from outside and for the shares that follow
 * from it. Hints with an age.
 *
 * @param me its number
 * @param doubtful it does not trust its own ears and judges nobody
 * @param health 0: well; each step up it gives others that much more time
 * @param delayMs the way to another member and back, on the median of late
 * @param members each, by number
 * @param sentMessages since the start
 * @param sentBytes since the start
 */
public record View(
    int me,
    boolean doubtful,
    int health,
    double delayMs,
    List<Member> members,
    long sentMessages,
    long sentBytes) {
  /**
   * @param ageMs for how long it has been in this state
   * @param heardMs since it was last heard first-hand; infinite: never
   * @param direct false: the last own question to it had no answer, and others say that it is there
   * @param accusers whose questions had no answer, if it is a suspect
   */
  public record Member(
      State state,
      int incarnation,
      double ageMs,
      double heardMs,
      boolean direct,
      List<Integer> accusers) {}
}
