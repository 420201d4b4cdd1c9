package cacheproxy.routing;

import java.util.List;

/**
 * Interface between the routing policy and its host, which is the proxy's event loop or the
 * simulator: the settings, the events that the host reports, and the actions that the policy
 * requests. Times are in milliseconds; {@code now} is the time of the event on a monotonic clock.
 * An implementation is confined to one thread, and the host performs actions before the call that
 * requested them returns.
 */
public interface RoutingApi {

  /**
   * Whether a request may be executed more than once: always, only under its idempotency key, or
   * never.
   */
  enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
  }

  /**
   * The servers that detect a repeated idempotency key: all servers, those of one zone, or those of
   * one cell.
   */
  enum IdempotencyScope {
    ALL,
    ZONE,
    CELL
  }

  /** How cache nodes deliver load reports: not at all, with each answer, or with health checks. */
  enum LoadReportSource {
    NONE,
    WITH_ANSWERS,
    BY_PROBE
  }

  /**
   * State of a server in the endpoint list. A {@code GONE} entry in a list of changes removes the
   * server.
   */
  enum EndpointState {
    GONE,
    DRAINING,
    READY
  }

  /**
   * Content of an endpoint list event: the complete list, changes to it, a list cached from before
   * this start, or a failed call ({@code FAILED}, which has no entries).
   */
  enum ListKind {
    FULL,
    CHANGES,
    CACHED,
    FAILED
  }

  /** Result of an attempt. */
  enum Outcome {
    OK(true),
    MISS(false),
    ERROR(true),
    FULL(false),
    TIMEOUT(true),
    CONNECT_FAILED(false),
    RESET(true),
    CANCELLED(true),
    NOT_SENT(false);

    private final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }

    /** Whether the server may have executed the request, or may still do so. */
    public boolean mayHaveRun() {
      return mayHaveRun;
    }
  }

  /**
   * A service class.
   *
   * @param idempotencyScope the servers that detect its idempotency keys
   * @param idempotencyWindowMs how long after the first attempt servers detect its idempotency key,
   *     in milliseconds
   * @param latencyObjectiveMs an answer within this time after the arrival earns the full priority
   *     weight
   * @param deadlineMs clients stop waiting after this time
   * @param priorityWeight the value of an answer within the latency objective, for load shedding
   * @param lateWeightFraction fraction of the priority weight that a later answer still earns, 0 to
   *     1
   * @param stream whether an answer may begin before it is complete
   */
  record ServiceClass(
      String name,
      Idempotency idempotency,
      IdempotencyScope idempotencyScope,
      double idempotencyWindowMs,
      double latencyObjectiveMs,
      double deadlineMs,
      double priorityWeight,
      double lateWeightFraction,
      boolean stream) {}

  /**
   * A tenant, its expected fraction of the traffic, and its quota in requests per second over all
   * proxy instances.
   */
  record Tenant(String name, double share, double quotaPerSecond) {}

  /**
   * One entry of the endpoint list. {@code startedMs} is when the server last started; 0 means that
   * it has run for longer than a warm-up takes.
   */
  record Member(
      int id, int zone, int kind, int cell, EndpointState state, float weight, double startedMs) {}

  /**
   * Configuration of one proxy instance, fixed for its lifetime.
   *
   * @param instanceIndex index of this instance, from 0 to {@code instances - 1}
   * @param cacheAside whether the proxy, and not the cache node, fetches missed keys from the
   *     origin
   * @param originKind the kind of endpoint that is the origin; negative if there is no origin
   * @param overQuotaWeight fraction of its weight that a request keeps when its tenant is over its
   *     quota
   * @param startCapacity fraction of its full capacity that an endpoint has when it starts; it
   *     reaches full capacity after {@code warmUpMs}
   * @param overloadMultiple an endpoint that is warming up fails when it receives this multiple of
   *     its current capacity for {@code overloadMs}
   * @param pollWithinMs the time that the list service needs to serve one call from every instance
   */
  record Settings(
      int instanceIndex,
      int instances,
      int zone,
      int zones,
      int kinds,
      boolean pollsEndpointList,
      boolean cacheAside,
      int originKind,
      LoadReportSource loadReportSource,
      List<String> reportNames,
      boolean weightByWork,
      double overQuotaWeight,
      boolean mayCancel,
      boolean mayHealthCheck,
      boolean peers,
      boolean mayHedge,
      boolean mayAdviseRetryAfter,
      int maxAttempts,
      double maxRetryAfterMs,
      double connectTimeoutMs,
      double drainGraceMs,
      double answerGraceMs,
      double startCapacity,
      double warmUpMs,
      double overloadMultiple,
      double overloadMs,
      double pollWithinMs,
      double originOverloadMultiple,
      double originOverloadMs,
      List<ServiceClass> classes,
      List<Tenant> tenants) {}

  /**
   * A client's request. Absent values are 0 or NaN instead of {@code Optional}, because one record
   * is created for each request.
   *
   * @param key hash of the cache key; 0 if the request has no key
   * @param deadlineMs the time at which the client stops waiting
   * @param costMs cost hint of the client; NaN if it gave none
   * @param retry whether the client marked this request as a retry
   * @param waitedMs time since the request arrived
   */
  record Request(
      int id,
      int serviceClass,
      int tenant,
      long key,
      double deadlineMs,
      double costMs,
      float bytes,
      boolean write,
      boolean retry,
      double waitedMs) {

    /** Creates a request that has just arrived. */
    public Request(
        int id,
        int serviceClass,
        int tenant,
        long key,
        double deadlineMs,
        double costMs,
        float bytes,
        boolean write,
        boolean retry) {
      this(id, serviceClass, tenant, key, deadlineMs, costMs, bytes, write, retry, 0);
    }
  }

  /**
   * The properties of a request that are known before it is parsed completely.
   *
   * @param waitedMs time since the request arrived
   * @param timeBudgetMs how long the client waits, counted from the arrival
   */
  record RequestSummary(
      int serviceClass, int tenant, boolean retry, double waitedMs, double timeBudgetMs) {}

  /** Result of {@link #rejectForOverload} for an admitted request. */
  double ADMITTED = -1;

  /**
   * The end of an attempt.
   *
   * @param finalAnswer whether the client received its final answer with this attempt
   * @param note {@link #NOTE_FETCH_IN_FLIGHT}, {@link #NOTE_NO_CONNECTION_SLOT}, or any other
   *     number, which has no meaning
   * @param report the load report that came with the answer; null if there was none
   */
  record AttemptEnd(
      int request,
      int attempt,
      int server,
      Outcome outcome,
      double elapsedMs,
      boolean finalAnswer,
      int note,
      float[] report) {}

  /** Note on a miss: the cache node has already asked another request to fetch this key. */
  int NOTE_FETCH_IN_FLIGHT = 3;

  /**
   * Note on {@link Outcome#CONNECT_FAILED}: the server is healthy, but all of its connection slots
   * are in use.
   */
  int NOTE_NO_CONNECTION_SLOT = 4;

  /**
   * The actions that the policy requests. The host performs them in order, at the time of the
   * event.
   */
  interface Actions {
    /** Sends an attempt. A timeout of 0 means that it may run until the client stops waiting. */
    void sendAttempt(int request, int server, double timeoutMs);

    /**
     * Gives the final answer "rejected": the request was not executed or is idempotent, so that the
     * client may retry. A Retry-After of 0 means no advice.
     */
    void reject(int request, double retryAfterMs);

    /** Gives the final answer "failed": the request may have been executed. */
    void fail(int request);

    /** Cancels an attempt that is in flight. */
    void cancelAttempt(int request, int attempt);

    /** Requests a call of {@link RoutingApi#onTimer} with this token after this delay. */
    void setTimer(double afterMs, int token);

    /**
     * The timer with this token is not needed any more. A host may call {@link RoutingApi#onTimer}
     * for it all the same, which then has no effect.
     */
    default void cancelTimer(int token) {}

    /** Starts a health check of a server; {@link RoutingApi#onHealthCheck} receives its result. */
    void startHealthCheck(int server);

    /** Closes idle connections to a server. */
    void closeIdleConnections(int server);

    /** Sends a message to another proxy instance, or to all others if {@code peer} is -1. */
    void sendToPeer(int peer, byte[] message);

    /** Starts the watch of the endpoint list, or stops it. */
    void watchEndpointList(boolean on);

    /** Requests the complete endpoint list once, without a watch. */
    void fetchEndpointList();

    /** Writes a line to the log. */
    void log(String line);
  }

  /**
   * Handles an endpoint list, changes to it, or a failed call for it.
   *
   * @throws IllegalArgumentException if an entry has an invalid value or a server is listed twice
   */
  void onList(double now, ListKind kind, List<Member> members, Actions actions);

  /**
   * Decides whether to reject a request before it is parsed, because this instance's own processor
   * is overloaded. A rejected request was sent to no server, so that a retry is harmless.
   *
   * @param excess fraction of the arriving requests that the processor can't serve, from 0 to 1
   * @return {@link #ADMITTED}, or the Retry-After advice in milliseconds, 0 for no advice
   */
  double rejectForOverload(double now, RequestSummary request, double excess);

  /**
   * Handles a client's request. The policy gives it exactly one final answer, unless the client
   * disconnects first.
   *
   * @throws IllegalArgumentException if its class or tenant is not in the settings
   */
  void onRequest(double now, Request request, Actions actions);

  /**
   * Handles the first byte of a streamed response. The client receives this response, whatever
   * other attempts return.
   */
  void onFirstByte(double now, int request, int attempt, int server, Actions actions);

  /** Handles the end of an attempt. */
  void onAttemptEnd(double now, AttemptEnd end, Actions actions);

  /** Handles a client's disconnect; the request no longer needs an answer. */
  void onClientGone(double now, int request, Actions actions);

  /** Handles the expiry of a timer that was set with this token. */
  void onTimer(double now, int token, Actions actions);

  /** Handles the result of a health check. */
  void onHealthCheck(
      double now, int server, Outcome outcome, double elapsedMs, float[] report, Actions actions);

  /**
   * Handles an operator's ejection or reinstatement of a server. An endpoint list overrides
   * neither.
   */
  void onManualEjection(double now, int server, boolean eject, Actions actions);

  /** The number of listed cache nodes, and how many of them receive no new requests. */
  record EndpointCounts(int listed, int unavailable) {}

  /** Counts the cache nodes at time {@code now}. */
  EndpointCounts endpointCounts(double now);

  /** Handles a message from another proxy instance. */
  void onPeerMessage(double now, int peer, byte[] message, Actions actions);

  /** Result of {@link Tier#spendSlowStartQuota}. */
  enum QuotaResult {
    SPENT,
    REFUSED,
    UNKNOWN
  }

  /**
   * The health information that the proxy instances of a tier share by gossip. The policy reports
   * the results of its own attempts and asks before it sends an attempt. Gossip can only keep this
   * instance from sending to a server: it doesn't prove that an attempt was not executed, adds no
   * server and ends no drain.
   */
  interface Tier {
    /**
     * Sets the servers that may receive requests, with their zones. Verdicts on any other server
     * are discarded.
     */
    void setEndpoints(int[] servers, int[] zones);

    /**
     * Reports that this instance has ejected a server for {@code forMs}, because of an attempt that
     * began at {@code sinceMs}.
     */
    void reportEjection(double now, int server, double sinceMs, double forMs);

    /**
     * Reports that a server had no free connection slot; this instance doesn't connect to it again
     * for {@code forMs}.
     */
    void reportNoConnectionSlot(double now, int server, double forMs);

    /**
     * Reports that a server has answered an attempt that began at {@code sinceMs}.
     *
     * @param kind kind of the server if the tier counts this answer towards the load of warm
     *     servers; negative if it doesn't, because the server is warming up or reported that it was
     *     full
     */
    void reportAnswer(double now, int server, double sinceMs, int kind);

    /**
     * Returns whether gossip has ejected a server.
     *
     * @param mayBeTrial whether this request may be the trial that tests an ejected server
     */
    boolean isEjected(double now, int server, boolean mayBeTrial);

    /**
     * Takes one request from this instance's quota for a server in slow start.
     *
     * @param capacity fraction of a warm server's load that the server may receive now
     * @param warm number of warm servers of this kind that this instance knows
     * @return {@code UNKNOWN} if the tier has set no quota, so that this instance decides by its
     *     own observations
     */
    QuotaResult spendSlowStartQuota(double now, int server, int kind, double capacity, int warm);
  }

  /** Connects the policy to the tier's shared health information. */
  void useTier(Tier tier);

  /**
   * Handles gossip that another instance has ejected a server, or has had an answer from it since.
   */
  void onGossipedHealth(double now, int server, boolean ejected, Actions actions);
}
