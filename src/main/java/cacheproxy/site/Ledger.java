package cacheproxy.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Records for each request which servers ran it and which final answer its client received, and
 * reports breaches of the rules. The stand-ins and the load generator fill the ledger, so its
 * findings do not depend on what the proxies report. All times are milliseconds on one clock that
 * the stand-ins share. {@link #judgeExpiredRequests} removes the requests that it has judged, so
 * memory use depends on the number of open requests and not on the length of the run.
 */
public final class Ledger {
  /**
   * Whether a request may take effect more than once: {@code IDEMPOTENT} requests may run any
   * number of times, {@code IDEMPOTENCY_KEY} requests carry an idempotency key by which servers
   * drop repeats, and {@code NOT_IDEMPOTENT} requests may take effect once at most.
   */
  public enum Effect {
    IDEMPOTENT,
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT
  }

  /** The kind of the final answer that a client received. */
  public enum FinalAnswer {
    SERVED,
    REFUSED,
    FAILED
  }

  /**
   * Grace periods within which an event is not yet a breach, in milliseconds.
   *
   * @param answerMs time after a client's deadline in which an answer still counts as on time, and
   *     time after a final answer in which copies of the request may still arrive at servers
   * @param lostMs time after a client's deadline in which a late answer is only counted as late; a
   *     later or missing answer is a breach
   * @param drainMs time after the announcement that a server is draining or removed in which new
   *     requests may still arrive there
   * @param idempotencyWindowMs how long servers remember an idempotency key
   */
  public record GracePeriods(
      double answerMs, double lostMs, double drainMs, double idempotencyWindowMs) {}

  /** Maximum number of breaches recorded with their evidence; further ones are only counted. */
  static final int MAX_RECORDED_BREACHES = 1000;

  private static final class Request {
    final String id;
    final Effect effect;
    final String key;
    final double acceptedMs;
    final double deadlineMs;
    final List<Execution> executions = new ArrayList<>(2);
    FinalAnswer finalAnswer;
    double answeredMs = Double.NaN;
    boolean noAnswerOwed;

    Request(String id, Effect effect, String key, double acceptedMs, double deadlineMs) {
      this.id = id;
      this.effect = effect;
      this.key = key;
      this.acceptedMs = acceptedMs;
      this.deadlineMs = deadlineMs;
    }
  }

  private record Execution(String server, double atMs, boolean tookEffect) {}

  private record KeyUse(String requestId, String server, double atMs) {}

  private final GracePeriods grace;
  private final Map<String, Request> openRequests = new HashMap<>();

  /** Last use of each idempotency key that took effect, kept for the idempotency window. */
  private final Map<String, KeyUse> idempotencyKeys = new HashMap<>();

  /**
   * Servers that are draining or removed, with the time at which discovery announced it to the
   * proxies.
   */
  private final Map<String, Double> leavingServers = new HashMap<>();

  private final List<Breach> breaches = new ArrayList<>();
  private long breachCount;
  private long judgedRequests;
  private long late;
  private long undecidedArrivals;

  public Ledger(GracePeriods grace) {
    this.grace = grace;
  }

  // ---- events

  /**
   * Records that a proxy has accepted a request: the client has written its last byte to a
   * connection that the proxy's machine had accepted.
   *
   * @param idempotencyKey idempotency key of the request, or null if it has none
   * @param deadlineMs time at which the client gives up
   */
  public void requestAccepted(
      String id, Effect effect, String idempotencyKey, double nowMs, double deadlineMs) {
    if (openRequests.putIfAbsent(id, new Request(id, effect, idempotencyKey, nowMs, deadlineMs))
        != null) {
      throw new IllegalArgumentException("request " + id + " has already been accepted");
    }
  }

  /**
   * Records that a request has arrived at a server and runs at once.
   *
   * @param tookEffect whether it took effect there; false if the server dropped it as a repeat
   */
  public void arrivedAndRan(String id, String server, double nowMs, boolean tookEffect) {
    arrivedAtServer(id, server, nowMs, nowMs);
    if (tookEffect) {
      tookEffect(id, server, nowMs);
    }
  }

  /**
   * Records that a request that had arrived at a server earlier now takes effect there and is not
   * dropped as a repeat.
   */
  public void tookEffect(String id, String server, double nowMs) {
    Request request = openRequests.get(id);
    if (request != null) {
      checkEffect(request, server, nowMs);
      request.executions.add(new Execution(server, nowMs, true));
    }
  }

  /**
   * Records that a request has arrived at a server, which may run it now or later. The exact time
   * of arrival is unknown because the server may have been unable to read its sockets for a while:
   * it lies between {@code earliestArrivalMs} and {@code nowMs}. An arrival after the end of a
   * grace period is a breach only if {@code earliestArrivalMs} is after that end; if only {@code
   * nowMs} is, the arrival is counted as undecided.
   *
   * @param earliestArrivalMs last time at which the server polled its sockets and the request was
   *     not there
   * @param nowMs time at which the server read the request
   */
  public void arrivedAtServer(String id, String server, double earliestArrivalMs, double nowMs) {
    Double leavingSinceMs = leavingServers.get(server);
    if (leavingSinceMs != null
        && late(leavingSinceMs + grace.drainMs(), earliestArrivalMs, nowMs)) {
      recordBreach(
          3,
          nowMs,
          "%s was sent request %s %.0f ms after its leaving was announced",
          server,
          id,
          earliestArrivalMs - leavingSinceMs);
    }
    Request request = openRequests.get(id);
    if (request == null) {
      recordBreach(
          1, nowMs, "request %s, already judged or never accepted, was sent to %s", id, server);
      return;
    }
    if (request.finalAnswer != null
        && late(request.answeredMs + grace.answerMs(), earliestArrivalMs, nowMs)) {
      recordBreach(
          1,
          nowMs,
          "request %s was sent to %s %.0f ms after its final answer (%s)",
          id,
          server,
          earliestArrivalMs - request.answeredMs,
          request.finalAnswer);
    }
    request.executions.add(new Execution(server, nowMs, false));
  }

  private boolean late(double limitMs, double earliestArrivalMs, double nowMs) {
    undecidedArrivals += nowMs > limitMs && earliestArrivalMs <= limitMs ? 1 : 0;
    return earliestArrivalMs > limitMs;
  }

  private void checkEffect(Request request, String server, double nowMs) {
    Execution earlier =
        request.executions.stream().filter(Execution::tookEffect).findFirst().orElse(null);
    if (request.effect != Effect.IDEMPOTENT && earlier != null) {
      recordBreach(
          2,
          nowMs,
          "request %s took effect at %s (%.3f s) and again at %s",
          request.id,
          earlier.server(),
          earlier.atMs() / 1000,
          server);
    }
    if (request.effect == Effect.IDEMPOTENCY_KEY && request.key != null) {
      KeyUse keyUse = idempotencyKeys.get(request.key);
      if (keyUse != null
          && !keyUse.requestId().equals(request.id)
          && nowMs <= keyUse.atMs() + grace.idempotencyWindowMs()) {
        recordBreach(
            2,
            nowMs,
            "key %s took effect for request %s at %s and again for %s at %s",
            request.key,
            keyUse.requestId(),
            keyUse.server(),
            request.id,
            server);
      }
      idempotencyKeys.put(request.key, new KeyUse(request.id, server, nowMs));
    }
  }

  /** Records that the client has read a complete final answer. */
  public void answered(String id, FinalAnswer answer, double nowMs) {
    Request request = openRequests.get(id);
    if (request == null || request.finalAnswer != null) {
      recordBreach(
          1,
          nowMs,
          "request %s was answered %s%s",
          id,
          answer,
          request == null ? " but was never accepted" : " after " + request.finalAnswer);
      return;
    }
    request.finalAnswer = answer;
    request.answeredMs = nowMs;
    if (answer == FinalAnswer.SERVED && request.executions.isEmpty()) {
      recordBreach(1, nowMs, "request %s was served although no server ran it", id);
    }
    if (request.noAnswerOwed) {
      return; // a late answer is allowed here; a second answer is still a breach
    }
    late += nowMs > request.deadlineMs + grace.answerMs() ? 1 : 0;
    if (nowMs > request.deadlineMs + grace.lostMs()) {
      recordBreach(
          1,
          nowMs,
          "request %s was answered %.0f ms after its client gave up",
          id,
          nowMs - request.deadlineMs);
    }
  }

  /**
   * Marks a request that may stay unanswered or be answered late: its client has closed the
   * connection, or a fault that the test rig injected kept the proxy from answering.
   */
  public void noAnswerOwed(String id) {
    Request request = openRequests.get(id);
    if (request != null) {
      request.noAnswerOwed = true;
    }
  }

  /** Records that the proxy closed the connection on which the client waited for the answer. */
  public void connectionClosedByProxy(String id, double nowMs) {
    Request request = openRequests.get(id);
    if (request != null && request.finalAnswer == null && !request.noAnswerOwed) {
      recordBreach(
          1,
          nowMs,
          "the connection of request %s, accepted at %.3f s, was closed without an answer",
          id,
          request.acceptedMs / 1000);
      request.noAnswerOwed = true; // avoids a second breach when the request expires
    }
  }

  /**
   * Records that discovery has announced to the proxies that this server is draining or removed.
   */
  public void serverLeaving(String server, double announcedMs) {
    leavingServers.putIfAbsent(server, announcedMs);
  }

  /** Records that the endpoint list shows the server as up again. */
  public void serverReturned(String server) {
    leavingServers.remove(server);
  }

  /** Records that a server received more work during its warm-up than is allowed. */
  public void coldServerOverloaded(String server, double nowMs, double sentMs, double allowedMs) {
    recordBreach(
        4,
        nowMs,
        "%s received %.0f ms of work during its warm-up; %.0f ms are allowed",
        server,
        sentMs,
        allowedMs);
  }

  // ---- results

  /**
   * Judges and removes all requests that are past the last time at which an answer or a copy may
   * still arrive.
   */
  public void judgeExpiredRequests(double nowMs) {
    openRequests
        .values()
        .removeIf(
            r -> {
              // Until this time a late copy of the request may still reach a server and show that
              // the final answer was wrong.
              if (nowMs <= r.deadlineMs + grace.lostMs() + grace.answerMs()) {
                return false;
              }
              if (r.finalAnswer == null && !r.noAnswerOwed) {
                recordBreach(
                    1,
                    nowMs,
                    "request %s, accepted at %.3f s, was never answered",
                    r.id,
                    r.acceptedMs / 1000);
              }
              Execution effect =
                  r.executions.stream().filter(Execution::tookEffect).findFirst().orElse(null);
              if (r.finalAnswer == FinalAnswer.REFUSED
                  && r.effect != Effect.IDEMPOTENT
                  && effect != null) {
                recordBreach(
                    2,
                    r.answeredMs,
                    "request %s was refused at %.3f s and took effect at %s",
                    r.id,
                    r.answeredMs / 1000,
                    effect.server());
              }
              judgedRequests++;
              return true;
            });
    idempotencyKeys.values().removeIf(k -> nowMs > k.atMs() + grace.idempotencyWindowMs());
  }

  /** The first {@link #MAX_RECORDED_BREACHES} breaches, in the order in which they were found. */
  public List<Breach> breaches() {
    return List.copyOf(breaches);
  }

  /** Number of all breaches, including those that were only counted. */
  public long breachCount() {
    return breachCount;
  }

  /** Number of answers that were late but within {@link GracePeriods#lostMs}. */
  public long late() {
    return late;
  }

  /**
   * Number of arrivals that a server read after the end of a grace period but that may have
   * happened before it, because the server could not read its sockets for a while.
   */
  public long undecidedArrivals() {
    return undecidedArrivals;
  }

  /** Number of requests that have been judged. */
  public long judgedRequests() {
    return judgedRequests;
  }

  /** Number of requests that have not been judged yet. */
  public int openRequests() {
    return openRequests.size();
  }

  private void recordBreach(int rule, double nowMs, String format, Object... arguments) {
    breachCount++;
    if (breaches.size() < MAX_RECORDED_BREACHES) {
      breaches.add(new Breach(rule, nowMs, String.format(Locale.ROOT, format, arguments)));
    }
  }
}
