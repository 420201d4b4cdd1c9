package cacheproxy.membership;

/**
 * Times in milliseconds, of one proxy's own clock, and the bytes it may send.
 *
 * @param periodMs one member is asked in each
 * @param directMs an answer that has not come by then is asked for through others
 * @param probeMs with no answer on any way by then a question has failed; what is heard within it
 *     outweighs an accusation
 * @param suspectMs least time that an accused has besides what news takes through the tier: a pause
 *     so long is no death
 * @param lateMs whoever comes to look at the clock so much too late has been away
 * @param bytesPerS sent in all
 */
public record Timing(
    double periodMs,
    double directMs,
    double probeMs,
    double suspectMs,
    double lateMs,
    double bytesPerS) {
  public static final Timing USUAL = new Timing(500, 250, 900, 4700, 400, 1800);

  /** Who has heard nobody for so long has no ears until it has. */
  static final double EARS_MS = 2500;

  /** A leaving member is gone after this: no deadline is longer. */
  static final double LEAVE_MS = 4500;

  /** Whoever heard a member within this asks it at once when others accuse it. */
  static final double KNOWS_MS = 30_000;

  /** The clock is looked at this often at least. */
  static final double LOOK_MS = 250;

  public Timing {
    if (!(periodMs > 0
        && directMs > 0
        && probeMs > directMs
        && suspectMs > 0
        && lateMs > 0
        && bytesPerS >= 300)) {
      throw new IllegalArgumentException(
          "period "
              + periodMs
              + ", direct "
              + directMs
              + ", probe "
              + probeMs
              + ", suspect "
              + suspectMs
              + ", late "
              + lateMs
              + " ms, "
              + bytesPerS
              + " bytes/s");
    }
  }

  /**
   * Until what one knows has reached all by far: a message holds a part of a large view, and there
   * are some two a period for each.
   */
  double spreadMs(int tier) {
    return Math.max(1, (double) tier / Message.room(Message.MOST_NEWS))
        * Math.log(Math.max(2, tier))
        / Math.log(2)
        * periodMs
        / 4;
  }

  /**
   * The shortest suspicion, with all confirmations in: an accusation's way there and a refutation's
   * back, and more.
   */
  double leastSuspicionMs(int tier) {
    return suspectMs + 2 * spreadMs(tier);
  }

  /**
   * A suspicion of so many independent confirmations besides the first word, of {@code most} that
   * count (Lifeguard).
   */
  double suspicionMs(int tier, int confirmations, int most) {
    double least = leastSuspicionMs(tier);
    return most <= 0
        ? 3 * least
        : 3 * least - 2 * least * Math.log(1 + Math.min(confirmations, most)) / Math.log(1 + most);
  }
}
