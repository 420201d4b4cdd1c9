package cacheproxy.gossip;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Detects that this proxy's endpoint list is older than the other proxies' lists, by the versions
 * that they broadcast. This reveals a watch that no longer delivers events. Until the timeout of
 * such a watch, the proxy would route by an outdated list, send requests to removed nodes, and rank
 * keys differently from the rest of the tier. A received version is only a hint that makes this
 * proxy poll discovery earlier; the endpoint list itself always comes from discovery.
 *
 * <p>The cost is bounded: a few numbers are stored for each peer, the tier sends about {@link
 * #SUFFICIENT_BROADCASTS} broadcasts for each change, and this proxy polls at most once in {@link
 * #POLL_INTERVAL_MS}. A peer whose version is not confirmed by polls is ignored for exponentially
 * growing periods. Times are milliseconds of one clock, and random fractions are between 0 and 1.
 * An infinite time means "not scheduled". Not thread-safe.
 */
public final class EndpointVersionGossip {
  /**
   * A new version is broadcast after a random delay of up to this time. A proxy that receives the
   * version from {@link #SUFFICIENT_BROADCASTS} others in the meantime does not broadcast it.
   */
  static final double BROADCAST_SPREAD_MS = 120;

  /**
   * Number of received broadcasts of a version that make another one unnecessary. Datagrams can get
   * lost, so one is not enough.
   */
  static final int SUFFICIENT_BROADCASTS = 2;

  /** Minimum time between two broadcasts of this proxy, whatever it receives. */
  static final double BROADCAST_INTERVAL_MS = 300;

  /**
   * Minimum time that this proxy waits for its own watch to deliver a version that a peer already
   * has. Discovery answers the tier's watches one after another, at about 0.2 s each. The proxy
   * then waits for a random time of up to {@link #POLL_SPREAD_MS} more, so that proxies without an
   * answer do not all poll at once.
   */
  static final double WATCH_LAG_MS = 600;

  /** Maximum random delay of a poll in addition to {@link #WATCH_LAG_MS}. */
  static final double POLL_SPREAD_MS = 1400;

  /**
   * How long an observed response time is used as an estimate of the waiting time in discovery's
   * queue.
   */
  static final double QUEUE_MEMORY_MS = 10_000;

  /**
   * Upper bound of the estimated waiting time in discovery's queue. An overloaded discovery rejects
   * requests that have waited for 3 s.
   */
  public static final double MAX_QUEUE_MS = 3200;

  /**
   * Maximum time by which a poll is delayed because of discovery's queue. A longer delay would
   * equally delay the detection of a silent watch. The proxy has to know a change that its watch
   * missed within 6 s plus a tolerance of 2 s.
   */
  static final double MAX_POLL_DELAY_FOR_QUEUE_MS = 2500;

  /** Minimum time after a poll before the next one, if the version is still missing. */
  static final double POLL_INTERVAL_MS = 4000;

  /**
   * An unconfirmed peer is ignored for {@link #POLL_INTERVAL_MS}, doubled at most this many times.
   */
  private static final int MAX_DOUBLINGS = 6;

  /**
   * The tier size for which the default spreads are suitable. They are scaled in proportion to the
   * actual size.
   */
  private static final double REFERENCE_TIER_SIZE = 14;

  private static final double MAX_POLL_SPREAD_MS = 8000;
  private static final double MIN_BROADCAST_SPREAD_MS = 20;
  private static final double NOT_SCHEDULED = Double.POSITIVE_INFINITY;

  /** Marks a peer from which no version is known. Valid versions are positive. */
  private static final long NO_VERSION = 0;

  private final int self;
  private final long[] peerVersions;
  private final double[] ignoredUntilMs;

  /**
   * For each peer, the number of consecutive polls after which discovery did not have its version.
   */
  private final int[] unconfirmedPolls;

  private double broadcastSpreadMs = BROADCAST_SPREAD_MS;
  private double pollSpreadMs = POLL_SPREAD_MS;
  private long ownVersion;
  private double broadcastMs = NOT_SCHEDULED;
  private double lastBroadcastMs = Double.NEGATIVE_INFINITY;
  private double pollMs = NOT_SCHEDULED;

  /** The longest recent response time of discovery, observed at {@link #queueObservedMs}. */
  private double queueMs;

  private double queueObservedMs = Double.NEGATIVE_INFINITY;

  /** The time at which peers whose versions the last poll has not confirmed become ignored. */
  private double confirmationMs = NOT_SCHEDULED;

  /**
   * Creates a state in which no version is known.
   *
   * @param tierSize the number of proxies of the tier
   * @param self this proxy's number
   */
  public EndpointVersionGossip(int tierSize, int self) {
    this.self = self;
    peerVersions = new long[tierSize];
    ignoredUntilMs = new double[tierSize];
    unconfirmedPolls = new int[tierSize];
  }

  /**
   * Adapts the spreads to the number of proxies that are alive. Broadcasts are spread so that about
   * {@link #SUFFICIENT_BROADCASTS} are sent before the first one can have arrived at the other
   * proxies. Polls are spread so that discovery has as much time for each as in a tier of {@link
   * #REFERENCE_TIER_SIZE}.
   *
   * @param alive the number of proxies that accept clients
   * @param roundTripMs the median round-trip time between proxies, or empty if it is unknown
   */
  public void setTierSize(int alive, OptionalDouble roundTripMs) {
    int size = Math.max(1, alive);
    pollSpreadMs = Math.min(MAX_POLL_SPREAD_MS, POLL_SPREAD_MS * size / REFERENCE_TIER_SIZE);
    broadcastSpreadMs =
        roundTripMs.isPresent() && roundTripMs.getAsDouble() > 0
            ? Math.max(
                MIN_BROADCAST_SPREAD_MS,
                size * roundTripMs.getAsDouble() / 2 / SUFFICIENT_BROADCASTS)
            : BROADCAST_SPREAD_MS * size / REFERENCE_TIER_SIZE;
  }

  /**
   * Records the response time of a call to discovery that was answered or rejected. Discovery
   * handles requests one after another, so the answers to the tier's proxies may be this far apart,
   * and this proxy's own answer may still be waiting in discovery's queue.
   *
   * @param tookMs the response time of a call that discovery had no other reason to delay. Values
   *     above {@link #MAX_QUEUE_MS} are reduced to it
   */
  public void recordQueueTime(double nowMs, double tookMs) {
    double observedMs = Math.min(MAX_QUEUE_MS, tookMs);
    if (observedMs >= queueMs(nowMs)) {
      queueMs = observedMs;
      queueObservedMs = nowMs;
    }
  }

  /**
   * Returns the estimated waiting time in discovery's queue, in milliseconds: the longest time
   * observed within {@link #QUEUE_MEMORY_MS}, or 0 if none was observed.
   */
  public double queueMs(double nowMs) {
    return nowMs - queueObservedMs <= QUEUE_MEMORY_MS ? queueMs : 0;
  }

  /**
   * Sets the version of this proxy's endpoint list after an answer of discovery, whether or not the
   * version is new. A lower version is accepted as well, because another discovery instance may
   * number versions differently.
   */
  public void onOwnVersion(double nowMs, long version, double randomFraction) {
    boolean isNew = version > ownVersion;
    ownVersion = version;
    for (int peer = 0; peer < peerVersions.length; peer++) {
      if (peerVersions[peer] != NO_VERSION && peerVersions[peer] <= ownVersion) {
        unconfirmedPolls[peer] = 0;
      }
    }
    if (isNew) {
      scheduleBroadcast(nowMs, randomFraction);
    }
    if (!isBehind()) {
      pollMs = confirmationMs = NOT_SCHEDULED;
    }
  }

  /** Handles a peer's broadcast of the version of its endpoint list. Invalid input is ignored. */
  public void onPeerVersion(double nowMs, int peer, long version, double randomFraction) {
    if (peer < 0
        || peer >= peerVersions.length
        || peer == self
        || version <= 0
        || nowMs < ignoredUntilMs[peer]) {
      return;
    }
    peerVersions[peer] = version;
    if (version < ownVersion) { // the peer may have missed earlier broadcasts
      scheduleBroadcast(nowMs, randomFraction);
    } else if (version > ownVersion && pollMs == NOT_SCHEDULED && confirmationMs == NOT_SCHEDULED) {
      double queueDelayMs = Math.min(MAX_POLL_DELAY_FOR_QUEUE_MS, queueMs(nowMs));
      pollMs = nowMs + WATCH_LAG_MS + queueDelayMs + randomFraction * pollSpreadMs;
    }
  }

  private void scheduleBroadcast(double nowMs, double randomFraction) {
    double earliestMs = lastBroadcastMs + BROADCAST_INTERVAL_MS;
    double wantedMs = nowMs + randomFraction * broadcastSpreadMs;
    broadcastMs = Math.min(broadcastMs, Math.max(wantedMs, earliestMs));
  }

  /**
   * Returns the time at which {@link #versionToBroadcast} and {@link #shouldPoll} are to be called
   * next. It is infinite if nothing is to be done until another version arrives.
   */
  public double nextActionMs() {
    return Math.min(broadcastMs, Math.min(pollMs, confirmationMs));
  }

  /**
   * Returns the version to broadcast to the tier now, or empty if there is nothing to broadcast.
   */
  public OptionalLong versionToBroadcast(double nowMs) {
    if (nowMs < broadcastMs) {
      return OptionalLong.empty();
    }
    broadcastMs = NOT_SCHEDULED;
    int broadcasts = 0;
    int peersBehind = 0;
    for (long version : peerVersions) {
      broadcasts += version == ownVersion ? 1 : 0;
      peersBehind += isBehindOwn(version) ? 1 : 0;
    }
    if (broadcasts >= SUFFICIENT_BROADCASTS && peersBehind == 0 || ownVersion <= 0) {
      return OptionalLong.empty();
    }
    clearVersionsBehind();
    lastBroadcastMs = nowMs;
    return OptionalLong.of(ownVersion);
  }

  private boolean isBehindOwn(long version) {
    return version != NO_VERSION && version < ownVersion;
  }

  /**
   * Clears the versions of peers that are behind, as the present broadcast notifies them. If such a
   * peer broadcasts an old version again, another broadcast is scheduled.
   */
  private void clearVersionsBehind() {
    for (int peer = 0; peer < peerVersions.length; peer++) {
      if (isBehindOwn(peerVersions[peer])) {
        peerVersions[peer] = NO_VERSION;
      }
    }
  }

  /**
   * Returns whether to poll discovery now, because this proxy's own watch has not delivered a
   * version that peers already have.
   */
  public boolean shouldPoll(double nowMs) {
    if (nowMs >= confirmationMs) {
      confirmationMs = NOT_SCHEDULED;
      ignoreUnconfirmedPeers(nowMs);
    }
    if (nowMs < pollMs) {
      return false;
    }
    pollMs = NOT_SCHEDULED;
    confirmationMs = nowMs + POLL_INTERVAL_MS;
    return true;
  }

  private void ignoreUnconfirmedPeers(double nowMs) {
    for (int peer = 0; peer < peerVersions.length; peer++) {
      if (peerVersions[peer] > ownVersion) {
        int doublings = Math.min(unconfirmedPolls[peer]++, MAX_DOUBLINGS);
        ignoredUntilMs[peer] = nowMs + POLL_INTERVAL_MS * (1 << doublings);
        peerVersions[peer] = NO_VERSION;
      }
    }
  }

  private boolean isBehind() {
    for (long version : peerVersions) {
      if (version > ownVersion) {
        return true;
      }
    }
    return false;
  }
}
