package cacheproxy.membership;

/**
 * Incarnation numbers, which order the statements about one member. They use serial number
 * arithmetic (RFC 1982) modulo {@link #MODULUS}: there is no greatest number, so a faulty peer that
 * sends an arbitrary one cannot prevent the member from choosing a newer one.
 *
 * <p>Incarnations need neither a disk nor a clock. A member that starts learns from the first
 * message it receives what others hold of it, and takes the next number. If nobody holds anything,
 * there is no accusation that a low number could lose against. If a network partition hid a higher
 * number, that number arrives with the first message after the partition, and the member goes
 * beyond it.
 */
public final class Incarnation {
  /** How many numbers there are; 13 bits on the wire. */
  static final int MODULUS = 1 << 13;

  private Incarnation() {}

  /** Returns the number that follows {@code incarnation}. */
  public static int next(int incarnation) {
    return (incarnation + 1) & (MODULUS - 1);
  }

  /**
   * Returns whether {@code incarnation} is newer than {@code other}. Of two numbers that are half
   * the modulus apart neither is newer.
   */
  public static boolean isNewer(int incarnation, int other) {
    int ahead = (incarnation - other) & (MODULUS - 1);
    return ahead > 0 && ahead < MODULUS / 2;
  }
}
