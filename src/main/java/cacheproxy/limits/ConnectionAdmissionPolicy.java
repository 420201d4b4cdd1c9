package cacheproxy.limits;

import java.util.Collection;

/**
 * Chooses which client connection is evicted, and when. Connections with an open request keep their
 * slots; idle ones keep the slots that new clients do not need; those that never sent a valid
 * request come last.
 *
 * <p>There is no configured idle time, it follows from Little's law: in a steady state the number
 * of idle connections is the rate at which connections arrive, times how long each stays. New
 * clients have a claim to the slots that they take within {@link #HORIZON_MS} at their present
 * rate, up to half of the slots of active clients, and idle connections may fill the rest: at a
 * high rate they stay for a fraction of a second, and without new clients for any time. Clients
 * that find no slot do not show in that rate. It still rises from a full table: each eviction
 * admits more clients, which evict more, until all get in or half of the slots are cleared.
 *
 * <p>Used by the event loop's thread only; allocates nothing after its construction.
 */
public final class ConnectionAdmissionPolicy {
  /**
   * Slots are kept for the clients that arrive within this time. It is long enough for the loop to
   * be busy elsewhere. Where many clients arrive at once only one time, idle connections are
   * evicted that would have been used again.
   */
  static final double HORIZON_MS = 1000;

  /**
   * The weight of the idle time of a client that has sent more than one request and so has shown
   * that it returns. Protects clients that keep connections against those that send one request and
   * stay.
   */
  static final double RETURNING_IDLE_WEIGHT = 0.25;

  /**
   * A connection that is inactive for less than this many times its longest gap, and less than
   * {@link #HORIZON_MS}, is between two requests and not idle: new clients have no claim to its
   * slot. Protects steady clients against a crowd that is disconnected and comes again. Without the
   * bound in time, a client with two requests an hour would never be idle.
   */
  static final double BETWEEN_REQUESTS_GAPS = 4;

  /**
   * When slots are short, a client further behind its minimum rate than this is evicted before one
   * that is between two requests. Long enough for a client on a fair line that sends in bursts,
   * which is up to a tenth of a second behind before each.
   */
  static final double TOLERATED_DEFICIT_MS = 500;

  private static final double MS_PER_SECOND = 1000;

  /** At least this part of the active clients' slots may be idle, whatever the others do. */
  private static final int MIN_IDLE_DIVISOR = 4;

  /** New clients claim at most this part of the active clients' slots. */
  private static final double MAX_CLAIM = 0.5;

  /** A connection that may be evicted. */
  public interface EvictionCandidate {
    /** Whether it has an open request, or responses that it has not read. */
    boolean isBusy();

    /** Whether it never sent a valid request, is being rejected, or is closing. */
    boolean isUnproductive();

    /** Since when it has been inactive, in milliseconds. */
    double inactiveSinceMs();

    /** How many of its requests have been answered. */
    long completedRequests();

    /**
     * The longest recent time between two of its requests, in milliseconds; 0: it has sent one
     * only.
     */
    double longestGapMs();

    /** How far it is behind its minimum rate, in milliseconds; 0: it keeps up. */
    double deficitMs(double nowMs);
  }

  private enum Activity {
    UNPRODUCTIVE,
    BUSY,
    BETWEEN_REQUESTS,
    IDLE
  }

  private final int maxConnections;
  private final int maxActiveClients;
  private final int spareSlots;
  private final boolean evictIdle;
  private final SlidingWindow newClients = new SlidingWindow(HORIZON_MS);

  /**
   * Creates a policy.
   *
   * @param maxConnections connection slots
   * @param maxActiveClients how many of them are for clients that send requests
   * @param spareSlots slots that are kept free for the next clients while a connection can be
   *     evicted
   * @param evictIdle whether idle connections are evicted for new clients before slots are short
   * @throws IllegalArgumentException if there is no slot, or none beside the spare ones
   */
  public ConnectionAdmissionPolicy(
      int maxConnections, int maxActiveClients, int spareSlots, boolean evictIdle) {
    if (maxConnections < 1 || spareSlots < 0 || spareSlots >= maxConnections) {
      throw new IllegalArgumentException(
          maxConnections + " connection slots, " + spareSlots + " of them spare");
    }
    this.maxConnections = maxConnections;
    this.maxActiveClients = Math.max(1, Math.min(maxActiveClients, maxConnections - spareSlots));
    this.spareSlots = spareSlots;
    this.evictIdle = evictIdle;
  }

  /** The number of connection slots. */
  public int maxConnections() {
    return maxConnections;
  }

  /** Records that a connection has sent its first request. */
  public void recordNewClient(double nowMs) {
    newClients.add(nowMs, 1);
  }

  /** Slots of active clients that new clients have a claim to. */
  public int claimedSlots(double nowMs) {
    double expected = Math.ceil(newClients.perSecond(nowMs) * HORIZON_MS / MS_PER_SECOND);
    return (int) Math.min(maxActiveClients * MAX_CLAIM, expected);
  }

  /**
   * How many connections may be idle beside this many busy ones: at least a quarter of the active
   * clients' slots, so that a crowd that does not read its responses does not cost all others their
   * connections.
   */
  public int maxIdle(double nowMs, int busy) {
    return Math.max(
        maxActiveClients / MIN_IDLE_DIVISOR, maxActiveClients - busy - claimedSlots(nowMs));
  }

  /**
   * Whether so few slots are free that a connection has to be evicted for the next ones.
   *
   * @param connections established connections
   * @param unavailable slots that are taken otherwise, as by connections being accepted
   */
  public boolean isShortOfSlots(int connections, int unavailable) {
    return maxConnections - connections - unavailable < spareSlots;
  }

  /**
   * Selects the next connection to evict; null if none has to be evicted, or none may be (no
   * Optional: it runs for each accepted connection).
   *
   * @param unavailable slots that are taken otherwise, as by connections being accepted
   */
  public <C extends EvictionCandidate> C selectVictim(
      double nowMs, Collection<C> candidates, int unavailable) {
    if (isShortOfSlots(candidates.size(), unavailable)) {
      return selectForSlot(nowMs, candidates);
    }
    // With so few, busy and idle ones together, no more are idle than may be.
    if (!evictIdle || candidates.size() <= maxActiveClients - claimedSlots(nowMs)) {
      return null;
    }
    return selectSurplusIdle(nowMs, candidates);
  }

  /** The longest idle connection, if more are idle than may be. */
  private <C extends EvictionCandidate> C selectSurplusIdle(
      double nowMs, Collection<C> candidates) {
    int busy = 0;
    int idle = 0;
    C longestIdle = null;
    for (C candidate : candidates) {
      Activity activity = activity(nowMs, candidate);
      if (activity == Activity.BUSY) {
        busy++;
      } else if (activity == Activity.IDLE) {
        idle++;
        longestIdle = longerIdle(nowMs, longestIdle, candidate);
      }
    }
    return idle > maxIdle(nowMs, busy) ? longestIdle : null;
  }

  /**
   * The first of: the oldest unproductive connection, the longest idle one, the busy one that is
   * furthest behind, the one that is between two requests for the longest time.
   */
  private static <C extends EvictionCandidate> C selectForSlot(
      double nowMs, Collection<C> candidates) {
    C unproductive = null;
    C idle = null;
    C betweenRequests = null;
    C behind = null;
    double largestDeficitMs = TOLERATED_DEFICIT_MS;
    for (C candidate : candidates) {
      switch (activity(nowMs, candidate)) {
        case UNPRODUCTIVE -> unproductive = longerInactive(unproductive, candidate);
        case IDLE -> idle = longerIdle(nowMs, idle, candidate);
        case BETWEEN_REQUESTS -> betweenRequests = longerInactive(betweenRequests, candidate);
        case BUSY -> {
          double deficitMs = candidate.deficitMs(nowMs);
          if (deficitMs > largestDeficitMs) {
            largestDeficitMs = deficitMs;
            behind = candidate;
          }
        }
      }
    }
    if (unproductive != null) {
      return unproductive;
    }
    if (idle != null) {
      return idle;
    }
    return behind != null ? behind : betweenRequests;
  }

  private static Activity activity(double nowMs, EvictionCandidate candidate) {
    if (candidate.isUnproductive()) {
      return Activity.UNPRODUCTIVE;
    }
    if (candidate.isBusy()) {
      return Activity.BUSY;
    }
    double inactiveMs = nowMs - candidate.inactiveSinceMs();
    double usualMs = Math.min(HORIZON_MS, BETWEEN_REQUESTS_GAPS * candidate.longestGapMs());
    return inactiveMs < usualMs ? Activity.BETWEEN_REQUESTS : Activity.IDLE;
  }

  private static <C extends EvictionCandidate> C longerInactive(C longest, C candidate) {
    boolean longer = longest == null || candidate.inactiveSinceMs() < longest.inactiveSinceMs();
    return longer ? candidate : longest;
  }

  private static <C extends EvictionCandidate> C longerIdle(double nowMs, C longest, C candidate) {
    boolean longer =
        longest == null || weightedIdleMs(nowMs, candidate) > weightedIdleMs(nowMs, longest);
    return longer ? candidate : longest;
  }

  private static double weightedIdleMs(double nowMs, EvictionCandidate candidate) {
    double weight = candidate.completedRequests() > 1 ? RETURNING_IDLE_WEIGHT : 1;
    return (nowMs - candidate.inactiveSinceMs()) * weight;
  }
}
