package cacheproxy.overload;

import java.util.Optional;

/**
 * Decides how large a part of the incoming requests has to be rejected because the proxy's share of
 * a processor does not suffice for all; which requests these are is decided elsewhere. It observes
 * the event loop's iterations, is asked before anything is spent on a request, and is used by the
 * event loop's thread only. Recording a request allocates nothing.
 */
public final class CpuLoadShedder {
  /** Measurements are taken this often, in milliseconds, or after an iteration that is longer. */
  static final double INTERVAL_MS = 100;

  /**
   * The target delay as a part of the shortest latency objective: a request and its response wait
   * for the loop once each, and the upstream server takes its time.
   */
  static final double PART_OF_OBJECTIVE = 0.25;

  private static final double MS_PER_SECOND = 1000;

  private final LoopIterations iterations = new LoopIterations();
  private final PieRejectionController controller;
  private final RequestCosts costs = new RequestCosts();
  private final ThreadCpuClock cpuClock = new ThreadCpuClock();
  private final OverloadReport report = new OverloadReport();
  private boolean started;
  private double intervalStartMs;
  private double processingMs;

  /**
   * Creates a load shedder that admits everything.
   *
   * @param targetDelayMs the delay of the loop that is aimed at under overload, in milliseconds
   * @throws IllegalArgumentException if the target is not positive
   */
  public CpuLoadShedder(double targetDelayMs) {
    controller = new PieRejectionController(targetDelayMs);
  }

  /**
   * The target delay for a latency objective, both in milliseconds.
   *
   * @param latencyObjectiveMs the objective of the most urgent class
   */
  public static double targetDelayMs(double latencyObjectiveMs) {
    return latencyObjectiveMs * PART_OF_OBJECTIVE;
  }

  /**
   * Records that the loop is about to select.
   *
   * @param wakeDueMs when it wakes by itself at the latest
   * @return whether the measurement interval is over and {@link #endInterval} is due
   */
  public boolean beforeSelect(double nowMs, double wakeDueMs) {
    double iterationMs = iterations.processingMs(nowMs);
    if (started) {
      processingMs += iterationMs;
      controller.recordIteration(nowMs, iterationMs + iterations.oversleptMs());
    } else {
      started = true;
      intervalStartMs = nowMs;
    }
    iterations.beforeSelect(nowMs, wakeDueMs);
    return nowMs - intervalStartMs >= INTERVAL_MS;
  }

  /** Records that the loop has selected, and processes the result from now on. */
  public void afterSelect(double nowMs) {
    iterations.afterSelect(nowMs);
  }

  /**
   * Ends a measurement interval.
   *
   * @param schedstat the system's figures of the loop's thread; empty: there are none, and the
   *     thread is taken to run whenever it has work
   */
  public void endInterval(double nowMs, String schedstat) {
    double intervalMs = nowMs - intervalStartMs;
    intervalStartMs = nowMs;
    if (intervalMs <= 0) {
      return;
    }
    double busyRatio = Math.min(1, processingMs / intervalMs);
    processingMs = 0;
    cpuClock.read(nowMs, schedstat);
    double requestsPerSecond = costs.requestsInInterval() * MS_PER_SECOND / intervalMs;
    double runningRatio = Math.min(1, cpuClock.runningRatio().orElse(busyRatio));
    costs.endInterval(runningRatio * intervalMs);
    report.endInterval(
        new OverloadReport.Interval(
            requestsPerSecond, busyRatio, cpuClock.runningRatio(), cpuClock.waitingRatio()),
        controller.meanDelayMs());
  }

  /**
   * The part of the requests read now that has to be rejected, from 0; 0: none has to be checked.
   * Until the cost of a request is known all are admitted: iterations are long at a start, and say
   * nothing about the load. While only this iteration is late, the least positive value makes each
   * request be checked.
   */
  public double rejectionRatio(double nowMs) {
    if (!costs.areKnown()) {
      return 0;
    }
    double ratio = controller.rejectionRatio();
    boolean late = iterations.queueDelayMs(nowMs) > controller.targetDelayMs();
    return ratio > 0 || late ? Math.max(Double.MIN_VALUE, ratio) : 0;
  }

  /** The mean time that a request that is read now has waited for that, in milliseconds. */
  public double queueDelayMs(double nowMs) {
    return iterations.queueDelayMs(nowMs);
  }

  /** Records that a request was admitted. */
  public void recordAdmitted() {
    report.recordAdmitted();
    costs.recordAdmitted();
  }

  /** Records that a request was rejected, this many milliseconds after it had been read. */
  public void recordRejected(double tookMs) {
    report.recordRejected();
    costs.recordRejected(tookMs);
  }

  /**
   * Takes the line for the log, if requests were rejected since the last one and that is long
   * enough ago.
   */
  public Optional<String> pollReport(double nowMs) {
    return report.poll(nowMs, controller, costs);
  }
}
