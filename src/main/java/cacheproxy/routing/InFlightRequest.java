package cacheproxy.routing;

import cacheproxy.routing.RoutingApi.Idempotency;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Request;
import cacheproxy.routing.RoutingApi.ServiceClass;
import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * State of a client's request and of its attempts. Absent values are null or NaN instead of {@code
 * Optional}, because the request path creates and reads this object.
 */
final class InFlightRequest {
  private static final int INITIAL_TIMERS = 2;

  final Request request;
  final ServiceClass serviceClass;
  final boolean idempotent;
  final double arrivedMs;
  final int keyHash;

  /** Node of each attempt, by attempt number. */
  final Node[] nodes;

  /** What the endpoint list said of the node of each attempt when it was sent. */
  final Member[] members;

  /** Time at which each attempt was sent, in milliseconds. */
  final double[] sentMs;

  /** Whether each attempt has ended. */
  final boolean[] ended;

  /** Tokens of the timers that have been set for it; the first {@link #timerCount} are valid. */
  private int[] timers = new int[INITIAL_TIMERS];

  private int timerCount;
  int attempts;
  int attemptsInFlight;
  boolean finished;
  boolean streaming;
  boolean hedged;

  /** Whether the next attempt goes to the origin. */
  boolean goesToOrigin;

  /** Whether the request waits for another request's fetch or for a retry's backoff. */
  boolean waiting;

  /** Decayed number of recent requests for its key at this instance. */
  int keyCount = 1;

  /** Number of top ranks over which requests for its key are spread. */
  int replicas = 1;

  /** Cache node that missed the key; null if none has. */
  Node missedNode;

  /**
   * Node that returned an error and should receive the retry, because it may have the key cached.
   * Null if the retry may go to another node.
   */
  Node retryNode;

  /** Start of the first attempt that may have been executed; NaN if there is none. */
  double mayHaveRunSinceMs = Double.NaN;

  /**
   * The first attempt's node that may have executed it, as it was listed then; null if there is
   * none. The node may have been replaced by another process since.
   */
  Member mayHaveRunMember;

  /** Requests that wait for this request's fetch; null if it is not fetching for others. */
  ArrayDeque<InFlightRequest> followers;

  /** Number of the attempt that fetches the key from the origin. */
  int fetchAttempt;

  InFlightRequest(Request request, ServiceClass serviceClass, int maxAttempts, double now) {
    this.request = request;
    this.serviceClass = serviceClass;
    idempotent = serviceClass.idempotency() == Idempotency.IDEMPOTENT;
    arrivedMs = now - request.waitedMs();
    keyHash =
        Carp.keyHash(request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id()));
    nodes = new Node[maxAttempts];
    members = new Member[maxAttempts];
    sentMs = new double[maxAttempts];
    ended = new boolean[maxAttempts];
  }

  /** Returns the latest time at which an answer meets the latency objective of its class. */
  double objectiveEndMs() {
    return arrivedMs + serviceClass.latencyObjectiveMs();
  }

  void addTimer(int token) {
    if (timerCount == timers.length) {
      timers = Arrays.copyOf(timers, 2 * timerCount);
    }
    timers[timerCount++] = token;
  }

  /** Removes and returns the tokens of all timers that have been set for it. */
  int[] removeTimers() {
    int[] tokens = Arrays.copyOf(timers, timerCount);
    timerCount = 0;
    return tokens;
  }

  boolean mayHaveRun() {
    return !Double.isNaN(mayHaveRunSinceMs);
  }

  /** Returns the number of the last attempt; -1 before the first one. */
  int lastAttempt() {
    return attempts - 1;
  }

  boolean tried(Node node) {
    for (int attempt = 0; attempt < attempts; attempt++) {
      if (nodes[attempt] == node) {
        return true;
      }
    }
    return false;
  }
}
