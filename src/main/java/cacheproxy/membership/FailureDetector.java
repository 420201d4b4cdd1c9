package cacheproxy.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;

/**
 * Probes one member in each interval, first directly and then indirectly through helpers. When many
 * probes fail, a failed probe is repeated before it counts. A member that answers neither directly
 * nor through a helper is suspected.
 */
final class FailureDetector {
  /** Number of helpers that are asked to send an indirect probe. */
  private static final int HELPERS = 3;

  /** Number of members that a process probes as soon as it starts. */
  private static final int INITIAL_PROBES = 3;

  /** Maximum number of pending probes. */
  private static final int MAX_PROBES = 8;

  /**
   * Each probe interval is multiplied by a random factor from this value up to this value plus
   * {@link #JITTER_RANGE}, so that the proxies' probes do not synchronize.
   */
  private static final double MIN_JITTER = 0.9;

  private static final double JITTER_RANGE = 0.2;

  /**
   * The first periodic probe is due after a random time of up to the probe interval divided by
   * this.
   */
  private static final int FIRST_INTERVAL_DIVISOR = 4;

  private final Timing timing;
  private final MemberTable members;
  private final ProbeTargets targets;
  private final LocalHealth health;
  private final MessageSender sender;
  private final Suspicions suspicions;
  private final NonceSequence nonces;
  private final SplittableRandom random;
  private final boolean indirectProbes;
  private final ProbeFailureRate failureRate;
  private final RoundTripTimes roundTripTimes = new RoundTripTimes();
  private final List<Probe> probes = new ArrayList<>();
  private int initialProbesSent;
  private double nextProbeMs;

  /** A probe that has been neither answered nor timed out. */
  private static final class Probe {
    final int target;
    final int nonce;
    final double sentMs;

    /** 1 for the first probe of this target, incremented for each immediate repetition. */
    final int attempt;

    boolean indirect;

    Probe(int target, int nonce, double sentMs, int attempt) {
      this.target = target;
      this.nonce = nonce;
      this.sentMs = sentMs;
      this.attempt = attempt;
    }
  }

  FailureDetector(
      ProtocolState state,
      ProbeTargets targets,
      MessageSender sender,
      Suspicions suspicions,
      NonceSequence nonces,
      double nowMs) {
    timing = state.timing();
    members = state.members();
    health = state.health();
    random = state.random();
    this.targets = targets;
    this.sender = sender;
    this.suspicions = suspicions;
    this.nonces = nonces;
    indirectProbes = state.isEnabled(Mechanism.INDIRECT_PROBES);
    failureRate = new ProbeFailureRate(members.size(), state.isEnabled(Mechanism.LOCAL_HEALTH));
    nextProbeMs = nowMs + random.nextDouble() * timing.probeIntervalMs() / FIRST_INTERVAL_DIVISOR;
  }

  /** Returns the time at which the next probe is due. */
  double nextProbeMs() {
    return nextProbeMs;
  }

  /**
   * Abandons the pending probes and makes the next one due at once. Called after a pause of the
   * process, in which the answers to the pending probes may have been lost.
   */
  void restart(double nowMs) {
    probes.clear();
    nextProbeMs = nowMs;
  }

  /**
   * Starts indirect probes for the direct ones that have not been answered in time, and fails
   * probes whose total timeout is over.
   */
  void checkTimeouts(double nowMs) {
    for (int i = probes.size() - 1; i >= 0; i--) {
      Probe probe = probes.get(i);
      double waitedMs = nowMs - probe.sentMs;
      if (waitedMs >= timing.probeTimeoutMs() * health.timeoutFactor()) {
        probes.remove(i);
        onFailure(nowMs, probe);
      } else if (!probe.indirect && waitedMs >= timing.directTimeoutMs() * health.timeoutFactor()) {
        probe.indirect = true;
        probeIndirectly(nowMs, probe);
      }
    }
  }

  /**
   * Sends the probes that are due: {@link #INITIAL_PROBES} at the start, and then one in each
   * interval.
   */
  void sendDueProbes(double nowMs) {
    while (initialProbesSent < Math.min(INITIAL_PROBES, members.size() - 1)) {
      initialProbesSent++;
      probeNext(nowMs);
    }
    if (nowMs >= nextProbeMs) {
      double jitter = MIN_JITTER + JITTER_RANGE * random.nextDouble();
      nextProbeMs = nowMs + timing.probeIntervalMs() * health.slowdownFactor() * jitter;
      probeNext(nowMs);
    }
  }

  private void probeNext(double nowMs) {
    targets.next().ifPresent(target -> probe(nowMs, target));
  }

  /** Probes this member now, unless {@link #MAX_PROBES} probes are pending. */
  void probe(double nowMs, int target) {
    probe(nowMs, target, 1);
  }

  private void probe(double nowMs, int target, int attempt) {
    if (probes.size() < MAX_PROBES) {
      Probe probe = new Probe(target, nonces.next(), nowMs, attempt);
      probes.add(probe);
      sender.sendPing(nowMs, target, probe.nonce);
    }
  }

  private void probeIndirectly(double nowMs, Probe probe) {
    if (!indirectProbes || members.isDormant(probe.target)) {
      return;
    }
    sender.resendPing(nowMs, probe.target, probe.nonce);
    for (int i = 0; i < HELPERS; i++) {
      targets
          .randomPresent()
          .ifPresent(
              helper -> {
                if (helper != probe.target) {
                  sender.sendPingRequest(nowMs, helper, probe.nonce, probe.target);
                }
              });
    }
  }

  /**
   * Completes a probe on an ACK from its target.
   *
   * @return whether the ACK answers a pending probe
   */
  boolean onAck(double nowMs, int from, int nonce) {
    Optional<Probe> answered = removeProbe(from, nonce);
    if (answered.isEmpty()) {
      return false;
    }
    Probe probe = answered.get();
    roundTripTimes.record(nowMs - probe.sentMs);
    recordOutcome(probe, false);
    // While this proxy was unreliable, refutations may not have reached it, so that time does not
    // count towards the suspicions' timeouts.
    OptionalDouble unreliableForMs = health.restoreTrust(probe.sentMs, nowMs);
    unreliableForMs.ifPresent(spanMs -> suspicions.extendAll(spanMs, nowMs));
    health.improve();
    return true;
  }

  /**
   * Completes a probe on a helper's INDIRECT_ACK. The target is reachable for the helper, although
   * it did not answer this proxy directly.
   */
  void onIndirectAck(int target, int nonce) {
    removeProbe(target, nonce)
        .ifPresent(
            probe -> {
              members.setUnanswered(target, true);
              recordOutcome(probe, false);
              health.improve();
            });
  }

  private Optional<Probe> removeProbe(int target, int nonce) {
    for (int i = 0; i < probes.size(); i++) {
      Probe probe = probes.get(i);
      if (probe.nonce == nonce && probe.target == target) {
        probes.remove(i);
        return Optional.of(probe);
      }
    }
    return Optional.empty();
  }

  private void onFailure(double nowMs, Probe probe) {
    int target = probe.target;
    MemberState state = members.state(target);
    if (members.isHeardAfter(target, probe.sentMs)) {
      members.setUnanswered(target, state.isPresent());
      return; // the target is running, although it may not receive this proxy's messages
    }
    if (!health.isFailureMeaningful(probe.sentMs)) {
      health.degrade();
      return;
    }
    boolean enoughAttempts = probe.attempt >= failureRate.requiredAttempts();
    recordOutcome(probe, true);
    if (state.isPresent() && !enoughAttempts) {
      probe(nowMs, target, probe.attempt + 1);
      return;
    }
    members.setUnanswered(target, true);
    if (state.isPresent() && state != MemberState.LEAVING) {
      suspicions.suspectByOwnProbe(nowMs, target);
    }
  }

  private void recordOutcome(Probe probe, boolean failed) {
    if (probe.attempt == 1 && members.state(probe.target).isPresent()) {
      failureRate.record(failed);
    }
  }

  /** Returns the median round-trip time in ms, or empty if no ACK has been received. */
  OptionalDouble medianRoundTripMs() {
    return roundTripTimes.medianMs();
  }
}
