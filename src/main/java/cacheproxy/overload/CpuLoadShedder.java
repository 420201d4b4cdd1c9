package cacheproxy.overload;

import java.util.Optional;

/**
 * Computes the fraction of incoming requests to reject because the proxy does not get enough
 * processor time to serve all of them. The caller selects the requests to reject, and asks before
 * it does any work on a request. The load shedder measures the load by observing the iterations of
 * the event loop. Not thread-safe: used only on the event loop thread. Recording a request does not
 * allocate memory.
 */
public final class CpuLoadShedder {
  /**
   * The measurement interval in milliseconds. It ends between two iterations of the event loop, so
   * it is longer where an iteration is longer.
   */
  static final double INTERVAL_MS = 100;

  /**
   * The target delay as a fraction of the shortest latency objective. Within the objective, the
   * request and its response each wait for the event loop once, and the upstream server needs the
   * rest.
   */
  static final double FRACTION_OF_OBJECTIVE = 0.25;

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
   * Creates a load shedder that initially admits all requests.
   *
   * @param targetDelayMs the event loop delay that the controller aims for under overload, in
   *     milliseconds
   * @throws IllegalArgumentException if the target is not positive
   */
  public CpuLoadShedder(double targetDelayMs) {
    controller = new PieRejectionController(targetDelayMs);
  }

  /**
   * Returns the target delay of the event loop for a latency objective, in milliseconds.
   *
   * @param latencyObjectiveMs the latency objective of the most urgent service class, in
   *     milliseconds
   */
  public static double targetDelayMs(double latencyObjectiveMs) {
    return latencyObjectiveMs * FRACTION_OF_OBJECTIVE;
  }

  /**
   * Records that the event loop is about to call select, which ends the current iteration.
   *
   * @param wakeDueMs the time at which select returns at the latest, because a timer is due
   * @return whether the measurement interval is over, so that the caller has to call {@link
   *     #endInterval}
   */
  public boolean beforeSelect(double nowMs, double wakeDueMs) {
    double iterationMs = iterations.processingMs(nowMs);
    if (started) {
      processingMs += iterationMs;
      controller.recordIteration(nowMs, iterationMs + iterations.wakeUpDelayMs());
    } else {
      started = true;
      intervalStartMs = nowMs;
    }
    iterations.beforeSelect(nowMs, wakeDueMs);
    return nowMs - intervalStartMs >= INTERVAL_MS;
  }

  /** Records that select has returned and that the event loop begins to process its result. */
  public void afterSelect(double nowMs) {
    iterations.afterSelect(nowMs);
  }

  /**
   * Ends the measurement interval and updates the measurements for the log line.
   *
   * @param schedstat the Linux {@code schedstat} line of the event loop thread. If it is empty, the
   *     thread is assumed to run on a processor whenever it has work.
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
   * Returns the fraction of the requests read now that has to be rejected. If it is 0, the caller
   * admits requests without a check. It is 0 until the cost of a request is known, because
   * iterations are long after a start regardless of the load. If only the current iteration is
   * late, it is the smallest positive value, so that the caller checks each request but rejects
   * almost none because of the fraction.
   */
  public double rejectionRatio(double nowMs) {
    if (!costs.areKnown()) {
      return 0;
    }
    double ratio = controller.rejectionRatio();
    boolean late = iterations.queueDelayMs(nowMs) > controller.targetDelayMs();
    return ratio > 0 || late ? Math.max(Double.MIN_VALUE, ratio) : 0;
  }

  /**
   * Returns the estimated mean time that a request that is read now has waited to be read, in
   * milliseconds.
   */
  public double queueDelayMs(double nowMs) {
    return iterations.queueDelayMs(nowMs);
  }

  /** Records that a request was admitted. */
  public void recordAdmitted() {
    report.recordAdmitted();
    costs.recordAdmitted();
  }

  /** Records that a request was rejected, {@code tookMs} milliseconds after it was read. */
  public void recordRejected(double tookMs) {
    report.recordRejected();
    costs.recordRejected(tookMs);
  }

  /**
   * Returns the log line about rejected requests if one is due: requests were rejected since the
   * previous line, and that line is at least {@link OverloadReport#INTERVAL_MS} old.
   */
  public Optional<String> pollReport(double nowMs) {
    return report.poll(nowMs, controller, costs);
  }
}
