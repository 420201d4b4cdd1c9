package cacheproxy.routing;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests that the instance holds, with their timers and coalesced fetches; decides nothing.
 * Null stands for "none", as it is read on the request path.
 */
final class InFlightRequests {
  /** What a timer is for; the ordinal is the low bits of its token. */
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

  /** Null if the request is not held. */
  InFlightRequest find(int request) {
    return byId.get(request);
  }

  List<InFlightRequest> snapshot() {
    return List.copyOf(byId.values());
  }

  /** Marks a request as answered; it is held until its last attempt has ended. */
  void finish(InFlightRequest pending) {
    pending.done = true;
    if (pending.outstanding == 0) {
      byId.remove(pending.request.id());
    }
  }

  /** The token of a new timer; null for {@code pending}: it is no request's. */
  int newTimer(TimerKind kind, InFlightRequest pending) {
    int token = nextToken++ << KIND_BITS | kind.ordinal();
    if (pending != null) {
      byTimer.put(token, pending);
    }
    return token;
  }

  static TimerKind timerKind(int token) {
    return TIMER_KINDS[token & KIND_MASK];
  }

  /** The request that a timer was set for; null if there is none. */
  InFlightRequest takeTimer(int token) {
    return byTimer.remove(token);
  }

  /** The request whose fetch of this key is in flight; null if there is none. */
  InFlightRequest fetchLeader(long key) {
    return fetchLeaders.get(key);
  }

  /** The request's next attempt fetches its key from the origin; others may follow it. */
  void leadFetch(InFlightRequest pending) {
    fetchLeaders.put(pending.request.key(), pending);
    pending.followers = new ArrayDeque<>();
    pending.fetchAttempt = pending.attempts;
  }

  /** Ends a request's lead and returns those that followed it. */
  ArrayDeque<InFlightRequest> endFetch(InFlightRequest leader) {
    ArrayDeque<InFlightRequest> followers = leader.followers;
    fetchLeaders.remove(leader.request.key());
    leader.followers = null;
    return followers;
  }
}
