package cacheproxy.site;

import java.util.ArrayDeque;

/**
 * Whether a server that has just started is pushed over: sent more than a multiple of what it can
 * do at that moment, within any window of a length, while it is cold. Rules alone; times in
 * milliseconds, work in milliseconds at a speed of 1.
 */
public final class SlowStartGuard {
  /** A little for chance, on top of the budget: so many requests' work. */
  static final double SLACK_REQUESTS = 4;

  private record Sent(double atMs, double workMs) {}

  private final double multiple;
  private final double windowMs;
  private final ArrayDeque<Sent> sent = new ArrayDeque<>();
  private double sum;
  private boolean over;

  /** As the settings have them: {@code tip-multiple} and {@code fall}. */
  public SlowStartGuard(double multiple, double windowMs) {
    this.multiple = multiple;
    this.windowMs = windowMs;
  }

  /**
   * It was sent work.
   *
   * @param perMs work that it can do in a millisecond now, all slots together; not cold: nothing is
   *     judged
   * @return how much was sent within the window where that is too much for the first time; 0: it is
   *     not, or was before
   */
  public double sent(double nowMs, double workMs, double perMs, boolean cold) {
    sent.add(new Sent(nowMs, workMs));
    sum += workMs;
    while (sent.peek().atMs() < nowMs - windowMs) {
      sum -= sent.poll().workMs();
    }
    if (!cold || over || sum <= allowed(perMs) + SLACK_REQUESTS * workMs) {
      return 0;
    }
    over = true; // it has fallen and stays down
    return sum;
  }

  /** What may be sent within the window. */
  public double allowed(double perMs) {
    return multiple * perMs * windowMs;
  }
}
