package cacheproxy.membership;

/**
 * Incarnation numbers, which order the status updates about one member. They use serial number
 * arithmetic (RFC 1982) modulo {@link #MODULUS}. As there is no greatest number, a faulty peer that
 * sends an arbitrary one cannot prevent the member from choosing a newer one.
 *
 * <p>Incarnations need neither stored state nor a clock. Every message contains the receiver's
 * status in the sender's view, so a member that restarts learns its previous incarnation from the
 * first message it receives, and takes the next number. If no other member knows it, there is no
 * accusation that could override a low number. If a network partition hid a higher number, that
 * number arrives with the first message after the partition, and the member then takes a newer one.
 */
public final class Incarnation {
  /** Number of distinct incarnations. An incarnation takes 13 bits on the wire. */
  static final int MODULUS = 1 << 13;

  private Incarnation() {}

  /** Returns the number that follows {@code incarnation}. */
  public static int next(int incarnation) {
    return (incarnation + 1) & (MODULUS - 1);
  }

  /**
   * Returns whether {@code incarnation} is newer than {@code other}. If the two numbers are half
   * the modulus apart, neither is newer.
   */
  public static boolean isNewer(int incarnation, int other) {
    int ahead = (incarnation - other) & (MODULUS - 1);
    return ahead > 0 && ahead < MODULUS / 2;
  }
}
