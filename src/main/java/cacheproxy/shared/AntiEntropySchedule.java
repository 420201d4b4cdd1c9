package cacheproxy.shared;

import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;

/**
 * Schedules the periodic anti-entropy pulls, with jitter, and the push notifications of a proxy. A
 * push follows new evidence within a few milliseconds, so that one push covers all changes of that
 * time, and two urgent pushes are a minimum interval apart. All times are milliseconds of one
 * clock. Not thread-safe.
 */
final class AntiEntropySchedule {
  private static final double PULL_PERIOD_MS = 500;
  private static final double MIN_PERIOD_FACTOR = 0.9;
  private static final double PERIOD_JITTER = 0.2;

  /** Longest random delay of an urgent push; changes during the delay share one notification. */
  private static final double PUSH_BATCH_MS = 10;

  private static final double MIN_PUSH_INTERVAL_MS = 30;

  private final SplittableRandom random;
  private final DoubleConsumer wakeUpBy;
  private double nextPullMs;
  private double nextPushMs = Double.POSITIVE_INFINITY;
  private double lastPushMs = Double.NEGATIVE_INFINITY;

  /**
   * @param wakeUpBy called with the time of the next push whenever that becomes earlier
   */
  AntiEntropySchedule(double now, SplittableRandom random, DoubleConsumer wakeUpBy) {
    this.random = random;
    this.wakeUpBy = wakeUpBy;
    nextPullMs = now + random.nextDouble() * PULL_PERIOD_MS;
  }

  /** The time at which the next pull or push is due. */
  double nextMs() {
    return Math.min(nextPullMs, nextPushMs);
  }

  /**
   * Schedules an urgent push within {@value #PUSH_BATCH_MS} ms, or {@value #MIN_PUSH_INTERVAL_MS}
   * ms after the last push if that is later.
   */
  void schedulePush(double now) {
    schedulePushBy(
        Math.max(now + random.nextDouble() * PUSH_BATCH_MS, lastPushMs + MIN_PUSH_INTERVAL_MS));
  }

  /** Schedules a push at the given time unless an earlier one is scheduled already. */
  void schedulePushBy(double atMs) {
    if (atMs < nextPushMs) {
      nextPushMs = atMs;
      wakeUpBy.accept(atMs);
    }
  }

  /** Whether a push is due. If so, records it as sent now. */
  boolean consumeDuePush(double now) {
    if (now < nextPushMs) {
      return false;
    }
    nextPushMs = Double.POSITIVE_INFINITY;
    lastPushMs = now;
    return true;
  }

  /**
   * Whether a pull is due. If so, schedules the next one.
   *
   * @param frequent whether to schedule the next pull after half a period
   */
  boolean consumeDuePull(double now, boolean frequent) {
    if (now < nextPullMs) {
      return false;
    }
    double jitter = MIN_PERIOD_FACTOR + PERIOD_JITTER * random.nextDouble();
    nextPullMs = now + PULL_PERIOD_MS * jitter / (frequent ? 2 : 1);
    return true;
  }
}
