package cacheproxy.limits;

import java.util.Collection;

/**
 * Decides when a client connection is evicted, and which one. Connections with an open request keep
 * their slots unless they fall behind the minimum rate. Idle connections keep the slots that new
 * clients do not need. When slots are short, connections that never sent a valid request are
 * evicted first.
 *
 * <p>There is no configured idle timeout. By Little's law, the number of idle connections in a
 * steady state is the arrival rate of connections times the idle time of each. The policy reserves
 * slots for the new clients that are expected within {@link #ARRIVAL_HORIZON_MS} at the current
 * arrival rate, up to half of the slots for active clients. Idle connections may use the rest. At a
 * high arrival rate a connection may therefore be idle for a fraction of a second only; without new
 * clients it may be idle for any time.
 *
 * <p>The measured arrival rate does not include clients that find no free slot, so it is too low
 * while all slots are taken. It converges nevertheless: each eviction admits another client, which
 * raises the rate and thus the number of evictions, until all clients are admitted or half of the
 * slots are reserved.
 *
 * <p>Not thread-safe: used only on the event loop thread. Does not allocate memory after its
 * construction.
 */
public final class ConnectionAdmissionPolicy {
  /**
   * Slots are reserved for the clients that are expected within this time. The time covers pauses
   * of the event loop in which it accepts no connections. The drawback is that a single burst of
   * new clients evicts idle connections that would have been used again.
   */
  static final double ARRIVAL_HORIZON_MS = 1000;

  /**
   * The factor applied to the idle time of a client that has completed more than one request.
   * Clients that reuse their connection are thereby evicted later than clients that send one
   * request and then keep the connection open.
   */
  static final double RETURNING_IDLE_WEIGHT = 0.25;

  /**
   * A connection counts as being between two requests, not as idle, while it has been inactive for
   * less than this many times its longest gap between requests and for less than {@link
   * #ARRIVAL_HORIZON_MS}. Its slot is not given to new clients. This protects steady clients from a
   * large number of clients that reconnect after a disconnect. Without the limit of {@link
   * #ARRIVAL_HORIZON_MS}, a client that sends two requests an hour would never count as idle.
   */
  static final double BETWEEN_REQUESTS_GAP_FACTOR = 4;

  /**
   * When slots are short, a busy client whose deficit against the minimum rate exceeds this is
   * evicted before a client that is between two requests. A healthy client that sends in bursts has
   * a deficit of up to 100 ms before each burst and so stays below this limit.
   */
  static final double TOLERATED_DEFICIT_MS = 500;

  private static final double MS_PER_SECOND = 1000;

  /**
   * The number of slots for active clients divided by this is the number of connections that may
   * always be idle, however many others are busy.
   */
  private static final int MIN_IDLE_DIVISOR = 4;

  /** At most this fraction of the slots for active clients is reserved for new clients. */
  private static final double MAX_NEW_CLIENT_FRACTION = 0.5;

  /** A connection that may be evicted. */
  public interface EvictionCandidate {
    /** Whether the client has an open request or responses that it has not read yet. */
    boolean isBusy();

    /**
     * Whether the client never sent a valid request, is being rejected, or is closing its
     * connection.
     */
    boolean isUnproductive();

    /**
     * The time since which the connection has been inactive, in milliseconds on the event loop's
     * clock.
     */
    double inactiveSinceMs();

    /** The number of requests of this client that the proxy has completed. */
    long completedRequests();

    /**
     * The longest recent time between two requests of this client in milliseconds, or 0 if it has
     * sent only one request.
     */
    double longestGapMs();

    /**
     * The client's time deficit against its minimum rate in milliseconds, or 0 if it keeps up (see
     * {@link MinimumRateMonitor}).
     */
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
  private final SlidingWindow newClients = new SlidingWindow(ARRIVAL_HORIZON_MS);

  /**
   * Creates a policy.
   *
   * @param maxConnections the total number of connection slots
   * @param maxActiveClients the number of these slots that are meant for clients that send requests
   * @param spareSlots slots that are kept free for the next clients, by eviction if necessary
   * @param evictIdle whether idle connections are evicted for expected clients even while more than
   *     {@code spareSlots} slots are free
   * @throws IllegalArgumentException if {@code maxConnections} is not positive, or if {@code
   *     spareSlots} is negative or leaves no slot to use
   */
  public ConnectionAdmissionPolicy(
      int maxConnections, int maxActiveClients, int spareSlots, boolean evictIdle) {
    if (maxConnections < 1 || spareSlots < 0 || spareSlots >= maxConnections) {
      throw new IllegalArgumentException(
          maxConnections
              + " connection slots and "
              + spareSlots
              + " spare slots: spare slots must be from 0 to less than the connection slots");
    }
    this.maxConnections = maxConnections;
    this.maxActiveClients = Math.max(1, Math.min(maxActiveClients, maxConnections - spareSlots));
    this.spareSlots = spareSlots;
    this.evictIdle = evictIdle;
  }

  /** Returns the total number of connection slots. */
  public int maxConnections() {
    return maxConnections;
  }

  /** Records that a client has sent the first request on its connection. */
  public void recordNewClient(double nowMs) {
    newClients.add(nowMs, 1);
  }

  /**
   * Returns how many slots are reserved for new clients that are expected within {@link
   * #ARRIVAL_HORIZON_MS}.
   */
  public int slotsForNewClients(double nowMs) {
    double expected = Math.ceil(newClients.perSecond(nowMs) * ARRIVAL_HORIZON_MS / MS_PER_SECOND);
    return (int) Math.min(maxActiveClients * MAX_NEW_CLIENT_FRACTION, expected);
  }

  /**
   * Returns how many connections may be idle while {@code busy} connections are busy. It is at
   * least a quarter of the slots for active clients, so that a large number of clients that do not
   * read their responses can't cause the eviction of all idle ones.
   */
  public int maxIdle(double nowMs, int busy) {
    return Math.max(
        maxActiveClients / MIN_IDLE_DIVISOR, maxActiveClients - busy - slotsForNewClients(nowMs));
  }

  /**
   * Returns whether fewer slots are free than the spare slots, so that a connection has to be
   * evicted.
   *
   * @param connections established connections
   * @param unavailable slots in use for other purposes, for example by connections that are being
   *     accepted
   */
  public boolean isShortOfSlots(int connections, int unavailable) {
    return maxConnections - connections - unavailable < spareSlots;
  }

  /**
   * Returns the next connection to evict, or null if no connection has to be evicted or none may
   * be. Returns null instead of an Optional because it is called for each accepted connection and
   * must not allocate memory.
   *
   * @param unavailable slots in use for other purposes, for example by connections that are being
   *     accepted
   */
  public <C extends EvictionCandidate> C selectVictim(
      double nowMs, Collection<C> candidates, int unavailable) {
    if (isShortOfSlots(candidates.size(), unavailable)) {
      return selectForSlot(nowMs, candidates);
    }
    // Shortcut without counting: so few connections can't include more idle ones than maxIdle
    // allows.
    if (!evictIdle || candidates.size() <= maxActiveClients - slotsForNewClients(nowMs)) {
      return null;
    }
    return selectExcessIdle(nowMs, candidates);
  }

  /**
   * Returns the connection that has been idle for longest if more connections are idle than {@link
   * #maxIdle} allows, otherwise null.
   */
  private <C extends EvictionCandidate> C selectExcessIdle(double nowMs, Collection<C> candidates) {
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
   * Returns the connection to evict when slots are short. In order of preference: the unproductive
   * connection that has been inactive for longest, the one that has been idle for longest, the busy
   * one with the largest deficit, the one that has been between two requests for longest.
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
    double betweenRequestsMs =
        Math.min(ARRIVAL_HORIZON_MS, BETWEEN_REQUESTS_GAP_FACTOR * candidate.longestGapMs());
    return inactiveMs < betweenRequestsMs ? Activity.BETWEEN_REQUESTS : Activity.IDLE;
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
