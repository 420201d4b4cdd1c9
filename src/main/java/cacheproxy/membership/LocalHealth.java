package cacheproxy.membership;

import java.util.OptionalDouble;
import java.util.Set;

/**
 * Tracks whether this proxy's own failure detector can be trusted. The score is Lifeguard's local
 * health multiplier: a higher score lengthens the timeouts for other members. Independently of the
 * score, the detector is unreliable from the start of the process, after a pause of the process, or
 * after a period without any received message, until a probe that was sent later has been
 * acknowledged.
 */
final class LocalHealth {
  private static final int MAX_SCORE = 4;

  /** Each step of the score lengthens intervals and suspicions by this fraction. */
  private static final double SLOWDOWN_PER_STEP = 0.5;

  private final double pauseThresholdMs;
  private final boolean scoreEnabled;
  private final boolean faultDetectionEnabled;
  private final boolean hasPeers;

  private int score;
  private boolean unreliable;
  private double unreliableSinceMs;
  private double lastActivityMs;
  private double lastHeardMs;

  /**
   * The time since which another process of this member has been running, or empty if there is
   * none.
   */
  private OptionalDouble parallelSinceMs = OptionalDouble.empty();

  LocalHealth(double pauseThresholdMs, int tierSize, Set<Mechanism> enabled, double nowMs) {
    this.pauseThresholdMs = pauseThresholdMs;
    scoreEnabled = enabled.contains(Mechanism.LOCAL_HEALTH);
    faultDetectionEnabled = enabled.contains(Mechanism.LOCAL_FAULT_DETECTION);
    hasPeers = tierSize > 1;
    unreliable = faultDetectionEnabled && hasPeers;
    unreliableSinceMs = lastActivityMs = lastHeardMs = nowMs;
  }

  /**
   * Records that the process is active, and marks the detector as unreliable if the process was
   * paused or has received no message for {@link Timing#SILENCE_MS}. Has to be called before any
   * other action.
   *
   * @return how long the process was paused, or empty if it was not
   */
  OptionalDouble detectPause(double nowMs) {
    double lateMs = nowMs - lastActivityMs - Timing.MAX_TICK_MS;
    lastActivityMs = nowMs;
    if (!faultDetectionEnabled) {
      return OptionalDouble.empty();
    }
    if (lateMs > pauseThresholdMs) {
      markUnreliable(nowMs);
      return OptionalDouble.of(lateMs);
    }
    if (!unreliable && hasPeers && nowMs - lastHeardMs > Timing.SILENCE_MS) {
      markUnreliable(nowMs);
    }
    return OptionalDouble.empty();
  }

  private void markUnreliable(double nowMs) {
    if (!unreliable) {
      unreliable = true;
      unreliableSinceMs = nowMs;
    }
    degrade();
  }

  /**
   * Marks the detector as reliable again after an ACK, if the probe was sent after the detector
   * became unreliable.
   *
   * @return how long the detector was unreliable, or empty if this call did not restore trust
   */
  OptionalDouble restoreTrust(double probeSentMs, double nowMs) {
    if (!unreliable || probeSentMs < unreliableSinceMs) {
      return OptionalDouble.empty();
    }
    unreliable = false;
    return OptionalDouble.of(nowMs - unreliableSinceMs);
  }

  /** Raises the score by one, which lengthens timeouts. */
  void degrade() {
    score = scoreEnabled ? Math.min(MAX_SCORE, score + 1) : 0;
  }

  /** Lowers the score by one, which shortens timeouts. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** Records the receipt of a message from another member that is not outdated. */
  void recordHeard(double nowMs) {
    lastHeardMs = nowMs;
  }

  /**
   * Sets whether another process of this member is running at the same time.
   *
   * @return how long the other process ran, if it was running and no longer is; otherwise empty
   */
  OptionalDouble setParallelProcess(double nowMs, boolean running) {
    if (running == parallelSinceMs.isPresent()) {
      return OptionalDouble.empty();
    }
    OptionalDouble before = parallelSinceMs;
    parallelSinceMs = running ? OptionalDouble.of(nowMs) : OptionalDouble.empty();
    return before.isPresent()
        ? OptionalDouble.of(nowMs - before.getAsDouble())
        : OptionalDouble.empty();
  }

  boolean isUnreliable() {
    return unreliable;
  }

  /**
   * Returns whether this proxy may suspect other members and declare them dead. It may not while
   * another process of this member is running, because that process receives some of the answers to
   * this one's probes.
   */
  boolean mayAccuse() {
    return !unreliable && parallelSinceMs.isEmpty();
  }

  /**
   * Returns whether the failure of a probe sent at this time indicates a fault of its target rather
   * than of this proxy.
   */
  boolean isFailureMeaningful(double probeSentMs) {
    return mayAccuse() && (!faultDetectionEnabled || lastHeardMs > probeSentMs);
  }

  int score() {
    return score;
  }

  /** Returns the factor by which the current score lengthens probe timeouts. */
  int timeoutFactor() {
    return 1 + score;
  }

  /** Returns the factor by which the current score lengthens probe intervals and suspicions. */
  double slowdownFactor() {
    return 1 + SLOWDOWN_PER_STEP * score;
  }

  double lastActivityMs() {
    return lastActivityMs;
  }
}
