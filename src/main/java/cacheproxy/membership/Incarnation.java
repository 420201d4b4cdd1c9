package cacheproxy.membership;

/**
 * Numbers that order what is said of one member. They live on a circle of 8,192, compared by the
 * shorter way round (RFC 1982), so that there is no greatest one: whatever number a liar sends, the
 * next is newer, and nobody can be locked out. They need neither disk nor clock: who starts asks
 * what is held of it and takes the next; where nobody holds anything, no accusation is left that a
 * low one could lose against; and where a cut hid one, it comes up with the first message from
 * behind the cut, and the accused goes beyond it.
 */
public final class Incarnation {
  static final int CIRCLE = 1 << 13;

  private Incarnation() {}

  public static int next(int i) {
    return (i + 1) & (CIRCLE - 1);
  }

  /**
   * Whether {@code a} is newer than {@code b}; of two that are half the circle apart neither is.
   */
  public static boolean newer(int a, int b) {
    int ahead = (a - b) & (CIRCLE - 1);
    return ahead > 0 && ahead < CIRCLE / 2;
  }
}
