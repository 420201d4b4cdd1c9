package cacheproxy.site;

import java.util.ArrayDeque;

/**
 * Detects when a server in its warm-up is overloaded: when it receives, within a sliding window,
 * more than a multiple of the work that it can do at its current speed. Times are in milliseconds,
 * work is in milliseconds at a speed of 1.
 */
public final class SlowStartGuard {
  /**
   * Tolerance on top of the allowed work, so that a chance burst is not reported: a multiple of the
   * work of the request just received.
   */
  static final double SLACK_REQUESTS = 4;

  private record SentWork(double atMs, double workMs) {}

  private final double multiple;
  private final double windowMs;
  private final ArrayDeque<SentWork> recentWork = new ArrayDeque<>();
  private double windowWorkMs;
  private boolean overloaded;

  /**
   * Creates a guard for one server.
   *
   * @param multiple allowed multiple of the work that the server can do, setting {@code
   *     tip-multiple}
   * @param windowMs length of the sliding window, setting {@code fall}
   */
  public SlowStartGuard(double multiple, double windowMs) {
    this.multiple = multiple;
    this.windowMs = windowMs;
  }

  /**
   * Records work that the server received.
   *
   * @param workPerMs work that all slots of the server together can do in a millisecond at its
   *     current speed
   * @param cold whether the server is in its warm-up; work received at other times is not judged
   * @return work received within the window if this call is the first that exceeds the allowed
   *     work, otherwise 0
   */
  public double recordWork(double nowMs, double workMs, double workPerMs, boolean cold) {
    recentWork.add(new SentWork(nowMs, workMs));
    windowWorkMs += workMs;
    while (recentWork.peek().atMs() < nowMs - windowMs) {
      windowWorkMs -= recentWork.poll().workMs();
    }
    if (!cold || overloaded || windowWorkMs <= allowedWorkMs(workPerMs) + SLACK_REQUESTS * workMs) {
      return 0;
    }
    overloaded = true; // an overload is reported once only
    return windowWorkMs;
  }

  /** Work that the server may receive within the window, without the tolerance. */
  public double allowedWorkMs(double workPerMs) {
    return multiple * workPerMs * windowMs;
  }
}
