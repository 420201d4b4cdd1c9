package cacheproxy.routing;

import java.util.List;

/** What the decision module is told and what it can order: its settings, events and actions. */
public interface RoutingApi {

  /** How often a request may take effect. */
  enum Effect {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
  }

  /**
   * The servers that drop a repeat of a keyed request: all, those of one zone, or those of one
   * cell.
   */
  enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** Where load reports come from. */
  enum Reports {
    NONE,
    WITH_ANSWERS,
    BY_PROBE
  }

  /** State of a server on the list. */
  enum State {
    GONE,
    DRAINING,
    READY
  }

  /** What a list event carries. {@code FAILED}: a call for the list failed, no entries. */
  enum ListKind {
    FULL,
    CHANGES,
    CACHED,
    FAILED
  }

  /** How an attempt ended. */
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

    /** Whether the request may have taken effect (or may yet). */
    public boolean mayHaveRun() {
      return mayHaveRun;
    }
  }

  /** A class of requests; times in milliseconds. */
  record ServiceClass(
      String name,
      Effect effect,
      Group group,
      double windowMs,
      double latencyObjectiveMs,
      double deadlineMs,
      double priorityWeight,
      double lateWeightFraction,
      boolean stream) {}

  /** A tenant and the rate, over all instances, that is within its share. */
  record Tenant(String name, double share, double quotaPerSecond) {}

  /** One server of the list. {@code startedMs}: when it last started, 0 if long ago. */
  record Member(
      int id, int zone, int kind, int cell, State state, float weight, double startedMs) {}

  /**
   * What an instance is told at its start; times in milliseconds. Negative {@code originKind}:
   * none.
   */
  record Settings(
      int me,
      int instances,
      int zone,
      int zones,
      int kinds,
      boolean pollsEndpointList,
      boolean cacheAside,
      int originKind,
      Reports reports,
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
   * A request taken from a client; key 0: none; cost hint NaN: none; due: when the client gives up;
   * waited: how long ago it came, in milliseconds.
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

    /** One that has only just come. */
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
   * What is seen of a request before anything is spent on it. Waited: how long ago it came;
   * patience: how long its client waits from then on; both in milliseconds.
   */
  record RequestSummary(
      int serviceClass, int tenant, boolean retry, double waitedMs, double timeBudgetMs) {}

  /** What {@link #rejectForOverload} says of a request that is to be taken. */
  double ADMITTED = -1;

  /**
   * The end of an attempt. {@code over}: the request has had its final answer; report: null if
   * none.
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

  /** Note on an outcome: a miss while another request has been told to fetch the same key. */
  int NOTE_FETCH_OUT = 3;

  /**
   * Note on {@link Outcome#CONNECT_FAILED}: the server is well and holds as many connections as it
   * takes.
   */
  int NOTE_NO_CONNECTION_SLOT = 4;

  /** Where the module's orders go. They are carried out in order, at the time of the event. */
  interface Actions {
    /** Sends an attempt; time-out 0: until the client gives up. */
    void place(int request, int server, double timeoutMs);

    /** Final answer: turned away, a retry is harmless. Advice 0: none. */
    void deny(int request, double retryAfterMs);

    /** Final answer: failed, nothing promised. */
    void fail(int request);

    /** Stops waiting for an attempt. */
    void cancel(int request, int attempt);

    /** Asks for {@link RoutingApi#onTimer} after this time. */
    void setTimer(double afterMs, int token);

    /** Tests a server. */
    void probe(int server);

    /** Closes idle connections to a server. */
    void closeIdle(int server);

    /** Sends bytes to another instance; -1: to all. */
    void tell(int peer, byte[] message);

    /** Subscribes to changes of the list, or ends that. */
    void watch(boolean on);

    /** Asks for the whole list once. */
    void fetchList();

    /** A line for the operators. */
    void log(String line);
  }

  /** News of the list of servers. */
  void onList(double now, ListKind kind, List<Member> members, Actions out);

  /**
   * Whether a request is turned away unseen, as the instance's own processor can't serve them all.
   * Excess: the part of what comes that it can't, from 0. {@link #ADMITTED}, or after how many
   * milliseconds the client is to come back; 0: no advice. Nothing is sent for one that is turned
   * away, so that trying it again is harmless.
   */
  double rejectForOverload(double now, RequestSummary request, double excess);

  /** A client's request; the instance now owes exactly one final answer. */
  void onRequest(double now, Request request, Actions out);

  /** A streamed answer has begun. */
  void onFirstByte(double now, int request, int attempt, int server, Actions out);

  /** An attempt has ended. */
  void onAttemptEnd(double now, AttemptEnd end, Actions out);

  /** The client has left; no answer is owed. */
  void onClientGone(double now, int request, Actions out);

  /** A timer has come due. */
  void onTimer(double now, int token, Actions out);

  /** The result of a probe. */
  void onHealthCheck(
      double now, int server, Outcome outcome, double elapsedMs, float[] report, Actions out);

  /**
   * An operator takes this server out, until the call back, whatever the list says of it meanwhile.
   */
  void onManualEjection(double now, int server, boolean out, Actions orders);

  /** Servers on the list, and how many of them get nothing new; the origin is not among them. */
  record EndpointCounts(int listed, int unavailable) {}

  /** How the servers stand. */
  EndpointCounts endpointCounts(double now);

  /** A message of another instance. */
  void onPeer(double now, int peer, byte[] message, Actions out);

  /** What {@link Tier#spendSlowStartQuota} says. */
  enum QuotaResult {
    SPENT,
    REFUSED,
    UNKNOWN
  }

  /**
   * What the instances of a tier share about servers. A subsystem of its own decides it; the module
   * tells it what its own attempts have shown and asks it before it sends. Hearsay only ever keeps
   * this instance from a server: it never says that an attempt did not run, makes no server known
   * and undoes no drain.
   */
  interface Tier {
    /**
     * The servers of the list that may be sent to, with their zones; what is not among them is
     * nobody's matter.
     */
    void listed(int[] servers, int[] zones);

    /**
     * By an attempt begun at {@code sinceMs} the server is out of reach, and would be passed over
     * for {@code forMs} by this instance alone.
     */
    void failed(double now, int server, double sinceMs, double forMs);

    /**
     * It had no place for a connection of this instance's, which does not ask again for so long.
     */
    void noConnectionSlot(double now, int server, double forMs);

    /**
     * It has answered an attempt that began then. Kind: of a warm one, whose answers the tier
     * counts; negative: it is cold.
     */
    void answered(double now, int server, double sinceMs, int kind);

    /**
     * Whether others' word keeps this instance from it now.
     *
     * @param mayTry this request may be the one by which an instance tries a server that is out of
     *     reach
     */
    boolean isEjected(double now, int server, boolean mayTry);

    /**
     * Spends this instance's right to send a cold server one more request.
     *
     * @param capacity the part of a warm one's load that it may have now
     * @param warm how many warm ones of its kind this instance knows
     * @return {@code UNKNOWN}: nothing is shared of this, the instance decides by what it sees
     *     itself
     */
    QuotaResult spendSlowStartQuota(double now, int server, int kind, double capacity, int warm);
  }

  /** From now on this is asked and told. */
  void useTier(Tier tier);

  /** By others' word a server is out of reach, or has answered one of them since. */
  void onGossipedHealth(double now, int server, boolean out, Actions orders);
}
