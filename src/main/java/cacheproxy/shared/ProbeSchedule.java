package cacheproxy.shared;

import cacheproxy.shared.VerdictEvidence.Kind;
import java.util.List;

/**
 * Schedules this proxy's probes of a node that gossip excludes. A probe is due a fixed delay plus a
 * random delay after the latest evidence that the node is unreachable. The range of the random
 * delays grows with the number of live proxies, so that the first probe of the tier comes soon but
 * few come at once. All times are milliseconds of one clock. Not thread-safe.
 */
final class ProbeSchedule {
  /** No proxy probes a node for this time after the latest evidence that it is unreachable. */
  static final double MIN_DELAY_MS = 1500;

  /**
   * A proxy that has not tried a node for this time probes it regardless of new evidence. This
   * limits the effect of a faulty observer that reports a working node again and again.
   */
  private static final double UNCONDITIONAL_PROBE_MS = 10_000;

  /**
   * Added to {@link #UNCONDITIONAL_PROBE_MS} for each live proxy, so that not all proxies of a
   * large tier probe during a long outage.
   */
  private static final double UNCONDITIONAL_PROBE_PER_PROXY_MS = 200;

  /**
   * Range of the random delays for each live proxy. The product is limited to {@link
   * #MIN_SPREAD_MS} and {@link #MAX_SPREAD_MS}.
   */
  private static final double SPREAD_PER_PROXY_MS = 60;

  private static final double MIN_SPREAD_MS = 500;
  private static final double MAX_SPREAD_MS = 6000;

  private final int me;
  private final boolean randomDelay;
  private int liveProxies = 1;

  /**
   * @param me this proxy's number
   * @param randomDelay false to omit the random delay, for tests
   */
  ProbeSchedule(int me, boolean randomDelay) {
    this.me = me;
    this.randomDelay = randomDelay;
  }

  void setLiveProxies(int count) {
    liveProxies = Math.max(1, count);
  }

  /**
   * Whether a probe is due.
   *
   * @param evidence all evidence on the node
   * @param lastTriedMs when the node became excluded or this proxy last sent it a request,
   *     whichever is later
   */
  boolean isDue(double now, List<VerdictEvidence> evidence, double lastTriedMs) {
    double lastEvidenceMs = Double.NEGATIVE_INFINITY;
    int fingerprint = 0;
    for (VerdictEvidence piece : evidence) {
      if (piece.kind() == Kind.UNREACHABLE && piece.observedMs() > lastEvidenceMs) {
        lastEvidenceMs = piece.observedMs();
        fingerprint = piece.fingerprint();
      }
    }
    double delayMs = randomDelay ? randomFraction(fingerprint) * spreadMs() : 0;
    return now >= lastEvidenceMs + MIN_DELAY_MS + delayMs
        || now - lastTriedMs
            >= UNCONDITIONAL_PROBE_MS + UNCONDITIONAL_PROBE_PER_PROXY_MS * liveProxies;
  }

  private double spreadMs() {
    return Math.max(MIN_SPREAD_MS, Math.min(MAX_SPREAD_MS, SPREAD_PER_PROXY_MS * liveProxies));
  }

  /**
   * A pseudo-random number from 0 to below 1, derived from this proxy's number and the piece of
   * evidence. The same arguments give the same number.
   */
  double randomFraction(int fingerprint) {
    int hash = (fingerprint ^ me * 0x9E3779B9) * 0xC2B2AE35;
    hash = (hash ^ hash >>> 15) * 0x27D4EB2F;
    return ((hash ^ hash >>> 16) >>> 1) / (double) (1L << 31);
  }
}
