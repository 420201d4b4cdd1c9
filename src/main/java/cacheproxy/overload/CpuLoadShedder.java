package cacheproxy.overload;

import java.util.Locale;

/**
 * What the proxy's own part of a processor allows, from what its loop is seen to do. Asked before
 * anything is spent on a request; says how much is too much and never who.
 */
public final class CpuLoadShedder {
  /**
   * What there is and what it is spent on is worked out so often, in milliseconds, or after a round
   * that is longer.
   */
  static final double SPAN_MS = 100;

  /**
   * Of the shortest aim: what is read and what comes back wait for the loop once each, and a server
   * takes its time.
   */
  static final double PART_OF_AIM = 0.25;

  /** Told in the log so often at most while anyone is turned away, in milliseconds. */
  static final double TELL_MS = 10_000;

  private final LoopIterations rounds = new LoopIterations();
  private final Admission admission;
  private final Costs costs = new Costs();
  private final ThreadCpuClock time = new ThreadCpuClock();
  private double startedMs = Double.NaN;
  private double worked;
  private double busy;
  private long taken;
  private long refused;
  private long toldRefused;
  private double perSecond;
  private double mostWaitMs;
  private double toldMs = Double.NEGATIVE_INFINITY;

  /**
   * @param targetMs the wait for the loop that is aimed at while not all fit, in milliseconds
   */
  public CpuLoadShedder(double targetMs) {
    admission = new Admission(targetMs);
  }

  /**
   * The wait to aim at where the most urgent class is to be answered by this time, in milliseconds.
   */
  public static double targetMs(double aimMs) {
    return aimMs * PART_OF_AIM;
  }

  // ---- what the loop does

  /**
   * The loop is about to select, and wakes by itself at this time at the latest. True: a span has
   * ended.
   */
  public boolean entering(double nowMs, double dueMs) {
    double work = rounds.workedMs(nowMs);
    if (Double.isNaN(startedMs)) {
      startedMs = nowMs;
    } else {
      worked += work;
      admission.round(nowMs, work + rounds.oversleptMs());
    }
    rounds.entering(nowMs, dueMs);
    return nowMs - startedMs >= SPAN_MS;
  }

  /**
   * A span has ended.
   *
   * @param threadTime what the system tells of the loop's thread; empty: nothing, and it is taken
   *     to run whenever it has work
   */
  public void span(double nowMs, String threadTime) {
    double span = nowMs - startedMs;
    startedMs = nowMs;
    if (span <= 0) {
      return;
    }
    busy = Math.min(1, worked / span);
    worked = 0;
    time.read(nowMs, threadTime);
    double ran = Double.isNaN(time.ran()) ? busy : Math.min(1, time.ran());
    perSecond = costs.read() * 1000 / span;
    costs.span(ran * span);
    mostWaitMs = Math.max(mostWaitMs, admission.waitMs());
  }

  public void selected(double nowMs) {
    rounds.selected(nowMs);
  }

  // ---- what fits

  /**
   * The part of what is read now that does not fit, from 0; 0: nobody needs to be asked. As long as
   * too few were taken to know what one costs, all fit: rounds are long at a start, and tell
   * nothing of what comes.
   */
  public double excess(double nowMs) {
    if (!costs.known()) {
      return 0;
    }
    double excess = admission.excess();
    return excess > 0 || rounds.waitedMs(nowMs) > admission.targetMs()
        ? Math.max(Double.MIN_VALUE, excess)
        : 0;
  }

  /** How long a request that is read now has waited for that, in milliseconds. */
  public double waitedMs(double nowMs) {
    return rounds.waitedMs(nowMs);
  }

  public void taken() {
    taken++;
    costs.served();
  }

  /** Turned away before anything else, which took so long. */
  public void refused(double tookMs) {
    refused++;
    costs.refused(tookMs);
  }

  // ---- what operators see

  /**
   * One line where anybody was turned away since the last one, and that is some time ago; else
   * null.
   */
  public String news(double nowMs) {
    if (refused == toldRefused || nowMs - toldMs < TELL_MS) {
      return null;
    }
    toldMs = nowMs;
    toldRefused = refused;
    String line = toString();
    mostWaitMs = 0;
    return line;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "not enough processor: %d turned away of %d, %.0f/s; loop late by %.0f ms, at most"
            + " %.0f, all is taken up to %.0f; at work %.0f%%, ran %s, kept waiting %s; a request takes %s, a refusal %.0f us",
        refused,
        taken + refused,
        perSecond,
        admission.waitMs(),
        mostWaitMs,
        admission.targetMs(),
        100 * busy,
        figure(100 * time.ran(), "%"),
        figure(100 * time.held(), "%"),
        figure(1000 * costs.servedMs(), " us"),
        1000 * costs.refusalMs());
  }

  /** What is not known is said to be so. */
  private static String figure(double value, String unit) {
    return Double.isNaN(value) ? "unknown" : Math.round(value) + unit;
  }
}
