package cacheproxy.site;

import java.util.ArrayDeque;

/**
 * Model of a server with a fixed number of slots, a bounded queue, a reduced speed after a cold
 * start, and stalls in which no work progresses. The class reads no clock and runs no jobs: it
 * computes when a job that starts now completes and which job is next, and the caller schedules
 * them. Times are in milliseconds.
 *
 * @param <J> type of the jobs
 */
public final class ServiceQueue<J> {
  /**
   * Constant properties of a server.
   *
   * @param slots number of jobs that run at the same time
   * @param queueCapacity maximum number of waiting jobs
   * @param speed speed factor: work of 1 ms takes 1 / speed ms
   * @param coldSpeedShare share of the full speed right after a cold start, from 0 (exclusive) to 1
   * @param warmUpMs time in which the speed rises linearly from that share to the full speed
   */
  public record Settings(
      int slots, int queueCapacity, double speed, double coldSpeedShare, double warmUpMs) {
    public Settings {
      if (slots < 1
          || queueCapacity < 0
          || !(speed > 0)
          || !(coldSpeedShare > 0 && coldSpeedShare <= 1)
          || !(warmUpMs >= 0)) {
        throw new IllegalArgumentException(
            "slots "
                + slots
                + ", queue capacity "
                + queueCapacity
                + ", speed "
                + speed
                + ", cold speed share "
                + coldSpeedShare
                + ", warm-up "
                + warmUpMs
                + " ms");
      }
    }
  }

  private final Settings settings;
  private final ArrayDeque<J> waiting = new ArrayDeque<>();
  private double startedMs = Double.NEGATIVE_INFINITY;
  private double stalledUntilMs = Double.NEGATIVE_INFINITY;
  private int busy;
  private double startedWorkMs;

  public ServiceQueue(Settings traits) {
    this.settings = traits;
  }

  public int slots() {
    return settings.slots();
  }

  public double speed() {
    return settings.speed();
  }

  /** Restarts the server: drops all jobs and begins the warm-up. */
  public void coldStart(double nowMs) {
    startedMs = nowMs;
    busy = 0;
    waiting.clear();
  }

  /** Stalls the server for this time; jobs in progress complete that much later. */
  public void stall(double nowMs, double durationMs) {
    stalledUntilMs = Math.max(stalledUntilMs, nowMs + durationMs);
  }

  /** End of the current or last stall; a time in the past if the server is not stalled. */
  public double stalledUntilMs() {
    return stalledUntilMs;
  }

  /** Share of the full speed at this time: below 1 during the warm-up. */
  public double speedShare(double nowMs) {
    double ageMs = nowMs - startedMs;
    return ageMs >= settings.warmUpMs()
        ? 1
        : settings.coldSpeedShare()
            + (1 - settings.coldSpeedShare()) * Math.max(0, ageMs) / settings.warmUpMs();
  }

  /** Result of offering a job. */
  public enum Offer {
    STARTED,
    QUEUED,
    REJECTED
  }

  /** Offers a job, which takes a free slot, waits in the queue, or is rejected if both are full. */
  public Offer offer(J job) {
    if (busy < settings.slots()) {
      busy++;
      return Offer.STARTED;
    }
    if (waiting.size() < settings.queueCapacity()) {
      waiting.add(job);
      return Offer.QUEUED;
    }
    return Offer.REJECTED;
  }

  /**
   * Starts a job in a slot.
   *
   * @param workMs work of the job, in milliseconds at a speed of 1
   * @return time at which the job completes
   */
  public double start(double nowMs, double workMs) {
    startedWorkMs += workMs;
    return Math.max(nowMs, stalledUntilMs) + workMs / (settings.speed() * speedShare(nowMs));
  }

  /**
   * Called when a job completes or is given up: returns the waiting job that takes over its slot,
   * or null if no job waits and the slot becomes free.
   */
  public J next() {
    J next = waiting.poll();
    if (next == null) {
      busy--;
    }
    return next;
  }

  /** Removes a waiting job from the queue. Returns false if it was not waiting. */
  public boolean cancel(J job) {
    return waiting.remove(job);
  }

  /** Total work of all jobs started so far, in milliseconds at a speed of 1. */
  public double startedWorkMs() {
    return startedWorkMs;
  }

  /** Number of jobs in slots and in the queue. */
  public int jobCount() {
    return busy + waiting.size();
  }
}
