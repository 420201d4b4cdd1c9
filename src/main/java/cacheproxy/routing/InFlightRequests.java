package cacheproxy.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * The requests in flight at this instance, with their timers and coalesced fetches. Absent requests
 * are null instead of {@code Optional}, because lookups are on the request path.
 */
final class InFlightRequests {
  /** Purpose of a timer. The ordinal is stored in the low bits of the timer's token. */
  enum TimerKind {
    DEADLINE,
    HEDGE,
    RETRY,
    POLL_ENDPOINTS
  }

  private static final TimerKind[] TIMER_KINDS = TimerKind.values();
  private static final int KIND_BITS = 2;
  private static final int KIND_MASK = (1 << KIND_BITS) - 1;

  private final Map<Integer, InFlightRequest> byId = new HashMap<>();
  private final Map<Integer, InFlightRequest> byTimer = new HashMap<>();
  private final Map<Long, InFlightRequest> fetchLeaders = new HashMap<>();
  private int nextToken;

  void add(InFlightRequest pending) {
    byId.put(pending.request.id(), pending);
  }

  /** Returns the request with this id; null if it is not in flight. */
  InFlightRequest find(int request) {
    return byId.get(request);
  }

  List<InFlightRequest> snapshot() {
    return List.copyOf(byId.values());
  }

  /**
   * Marks a request as finished. It stays registered until its last attempt has ended.
   *
   * @param cancelTimer receives the tokens of its timers that have not run
   */
  void finish(InFlightRequest pending, IntConsumer cancelTimer) {
    pending.finished = true;
    for (int token : pending.removeTimers()) {
      if (byTimer.remove(token) != null) {
        cancelTimer.accept(token);
      }
    }
    if (pending.attemptsInFlight == 0) {
      byId.remove(pending.request.id());
    }
  }

  /**
   * Creates the token of a new timer.
   *
   * @param pending the request that the timer belongs to; null if it belongs to none
   */
  int newTimer(TimerKind kind, InFlightRequest pending) {
    int token = nextToken++ << KIND_BITS | kind.ordinal();
    if (pending != null) {
      byTimer.put(token, pending);
      pending.addTimer(token);
    }
    return token;
  }

  static TimerKind timerKind(int token) {
    return TIMER_KINDS[token & KIND_MASK];
  }

  /** Removes a timer and returns its request; null if it has none. */
  InFlightRequest takeTimer(int token) {
    return byTimer.remove(token);
  }

  /** Returns the request whose fetch of this key is in flight; null if there is none. */
  InFlightRequest fetchLeader(long key) {
    return fetchLeaders.get(key);
  }

  /**
   * Registers that the next attempt of a request fetches its key from the origin; requests for the
   * same key may wait for it.
   */
  void leadFetch(InFlightRequest pending) {
    fetchLeaders.put(pending.request.key(), pending);
    pending.followers = new ArrayDeque<>();
    pending.fetchAttempt = pending.attempts;
  }

  /** Ends a request's coalesced fetch and returns the requests that waited for it. */
  ArrayDeque<InFlightRequest> endFetch(InFlightRequest leader) {
    ArrayDeque<InFlightRequest> followers = leader.followers;
    fetchLeaders.remove(leader.request.key());
    leader.followers = null;
    return followers;
  }
}
