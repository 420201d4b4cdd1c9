package cacheproxy.limits;

/**
 * How much of a long value may wait for its client before no more of it is read from its server.
 * The rest stays with the server and in the system's buffers: more long values pass at once than
 * memory holds.
 */
public final class StreamingWindow {
  /**
   * What each may have in hand. Guards speed: with less, server and client take turns. Costs this
   * for each.
   */
  public static final int LEAST_BYTES = 64 << 10;

  /**
   * What one may have in hand while others wait behind it on its connection. Guards these, which a
   * slow client of the first would hold up; only while less than half of the room is taken.
   */
  public static final int MOST_BYTES = 1 << 20;

  /** From this part of the room on, each has in hand only what came in one read. */
  static final double TIGHT_SHARE = 0.75;

  private StreamingWindow() {}

  /**
   * Whether to read on.
   *
   * @param pending bytes of this value that its client has not taken yet
   * @param behind requests that wait behind it on the server's connection
   * @param held bytes that all long values hold
   * @param bound the most that they may
   */
  public static boolean reads(long pending, int behind, long held, long bound) {
    if (pending == 0) {
      return true; // whatever others hold, each goes on
    }
    if (held >= bound * TIGHT_SHARE) {
      return false;
    }
    return pending < (behind > 0 && held < bound / 2 ? MOST_BYTES : LEAST_BYTES);
  }
}
