package cacheproxy.routing;

/**
 * What the origin was asked and what it answered in time of that, both fading. Guards against the
 * jam in which late and refused fetches are asked for again and the origin works for nobody.
 */
final class AdaptiveThrottle {
  /** Halves in this time: some ten fetches at a proxy with a few a second. */
  static final double HALF_MS = 4000;

  /** Asked for this multiple of what it answers, the origin stays busy and recovery is seen. */
  static final double HEADROOM = 1.2;

  private double asked;
  private double answered;
  private double wanted;
  private double again;
  private double at;

  /** What is left of a count after this time. */
  static double left(double ms) {
    return Math.pow(0.5, ms / HALF_MS);
  }

  private void fade(double now) {
    double f = left(now - at);
    asked *= f;
    answered *= f;
    wanted *= f;
    again *= f;
    at = now;
  }

  /** The part of what is wanted that should not be sent. */
  double excess(double now) {
    fade(now);
    return (asked - HEADROOM * answered - 1) / (asked + 1);
  }

  /**
   * The part of such requests, first tries or repeats, to refuse so that in all the part {@code
   * excess} is refused: repeats go first. Guards against the storm in which refused clients come
   * back at once and take the room of first tries, which then come back too; a repeat has used up
   * part of its aim. Should also guard against clients that never wait. Harm: whose first try was
   * refused by chance is refused again, where a fair draw would have let some in late.
   */
  double partToReject(double now, boolean retry, double excess) {
    fade(now);
    wanted++;
    again += retry ? 1 : 0;
    double part = again / wanted;
    return retry ? Math.min(1, excess / part) : Math.max(0, (excess - part) / (1 - part + 1e-9));
  }

  /** How many times too much is asked, 1 when all is well. */
  double pressure(double now) {
    fade(now);
    return Math.max(1, (asked + 1) / (answered + 1));
  }

  void asked(double now) {
    fade(now);
    asked++;
  }

  void answered(double now) {
    fade(now);
    answered++;
  }
}
