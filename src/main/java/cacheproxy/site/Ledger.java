package cacheproxy.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What ran where, for which request, and what its client was told: kept by the stand-ins, not by
 * the program, and judged by itself. Times are milliseconds on one clock of all stand-ins. An entry
 * stays until {@link #settle} has judged its request, so that memory follows the requests that are
 * open and not the length of a day.
 */
public final class Ledger {
  /** How often a request may take effect, as in the settings. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** What a client was told. */
  public enum Told {
    SERVED,
    REFUSED,
    FAILED
  }

  /**
   * What the settings allow, in milliseconds.
   *
   * @param answerMs so much after a client's patience an answer is still in time, and so long
   *     copies may still be under way
   * @param lostMs so much after it an answer that came late earns nothing and is counted; later, or
   *     never, it is lost
   * @param drainMs so long after a server is told to drain or gone it may still be sent new
   *     requests
   * @param keyedMs how long servers know an idempotency key
   */
  public record Grace(double answerMs, double lostMs, double drainMs, double keyedMs) {}

  /** So many breaches are kept; more are counted. */
  static final int MOST_KEPT = 1000;

  private static final class Request {
    final String id;
    final Effect effect;
    final String key;
    final double takenMs;
    final double dueMs;
    final List<Run> runs = new ArrayList<>(2);
    Told told;
    double toldMs = Double.NaN;
    boolean left;

    Request(String id, Effect effect, String key, double takenMs, double dueMs) {
      this.id = id;
      this.effect = effect;
      this.key = key;
      this.takenMs = takenMs;
      this.dueMs = dueMs;
    }
  }

  private record Run(String server, double begunMs, boolean took) {}

  private record Kept(String id, String server, double atMs) {}

  private final Grace grace;
  private final Map<String, Request> open = new HashMap<>();

  /** Idempotency keys with the run that took effect, for as long as servers know them. */
  private final Map<String, Kept> keys = new HashMap<>();

  /** Servers that have been told to drain or are gone, with when the proxies were told. */
  private final Map<String, Double> leaving = new HashMap<>();

  private final List<Breach> breaches = new ArrayList<>();
  private long count;
  private long judged;
  private long late;
  private long notKnown;

  public Ledger(Grace grace) {
    this.grace = grace;
  }

  // ---- what happens

  /**
   * A proxy has taken a request: its last byte was written to a connection that the proxy's machine
   * accepted.
   *
   * @param key its idempotency key; null: none
   * @param dueMs when its client gives up
   */
  public void taken(String id, Effect effect, String key, double nowMs, double dueMs) {
    if (open.putIfAbsent(id, new Request(id, effect, key, nowMs, dueMs)) != null) {
      throw new IllegalArgumentException("request " + id + " is taken already");
    }
  }

  /**
   * A proxy's request has come to a server and is begun at once; {@code took}: it took effect
   * there, and was no repeat.
   */
  public void ran(String id, String server, double nowMs, boolean took) {
    sent(id, server, nowMs, nowMs);
    if (took) {
      effect(id, server, nowMs);
    }
  }

  /** What came to a server earlier takes effect there now, and is no repeat. */
  public void effect(String id, String server, double nowMs) {
    Request r = open.get(id);
    if (r != null) {
      took(r, server, nowMs);
      r.runs.add(new Run(server, nowMs, true));
    }
  }

  /**
   * A proxy's request has come to a server, which begins it now or later. It came between the two
   * times; where the server was kept from reading, only what came too late at the earliest is a
   * breach, and the rest is counted as not known.
   *
   * @param afterMs when the server had looked for it last and there was nothing
   */
  public void sent(String id, String server, double afterMs, double nowMs) {
    Double told = leaving.get(server);
    if (told != null && late(told + grace.drainMs(), afterMs, nowMs)) {
      breach(
          3,
          nowMs,
          "%s was sent request %s %.0f ms after it was told to leave",
          server,
          id,
          afterMs - told);
    }
    Request r = open.get(id);
    if (r == null) {
      breach(1, nowMs, "request %s, over or never taken, was sent to %s", id, server);
      return;
    }
    if (r.told != null && late(r.toldMs + grace.answerMs(), afterMs, nowMs)) {
      breach(
          1,
          nowMs,
          "request %s was sent to %s %.0f ms after its final answer (%s)",
          id,
          server,
          afterMs - r.toldMs,
          r.told);
    }
    r.runs.add(new Run(server, nowMs, false));
  }

  private boolean late(double byMs, double afterMs, double nowMs) {
    notKnown += nowMs > byMs && afterMs <= byMs ? 1 : 0;
    return afterMs > byMs;
  }

  private void took(Request r, String server, double nowMs) {
    Run before = r.runs.stream().filter(Run::took).findFirst().orElse(null);
    if (r.effect != Effect.SAFE && before != null) {
      breach(
          2,
          nowMs,
          "request %s took effect at %s (%.3f s) and again at %s",
          r.id,
          before.server(),
          before.begunMs() / 1000,
          server);
    }
    if (r.effect == Effect.KEYED && r.key != null) {
      Kept kept = keys.get(r.key);
      if (kept != null && !kept.id().equals(r.id) && nowMs <= kept.atMs() + grace.keyedMs()) {
        breach(
            2,
            nowMs,
            "key %s took effect for request %s at %s and again for %s at %s",
            r.key,
            kept.id(),
            kept.server(),
            r.id,
            server);
      }
      keys.put(r.key, new Kept(r.id, server, nowMs));
    }
  }

  /** The client has read the whole of a final answer. */
  public void told(String id, Told told, double nowMs) {
    Request r = open.get(id);
    if (r == null || r.told != null) {
      breach(
          1,
          nowMs,
          "request %s was answered %s%s",
          id,
          told,
          r == null ? " and was never taken" : " after " + r.told);
      return;
    }
    r.told = told;
    r.toldMs = nowMs;
    if (told == Told.SERVED && r.runs.isEmpty()) {
      breach(1, nowMs, "request %s was served and no server ran it", id);
    }
    if (r.left) {
      return; // whoever had it owes no answer in time; that there is one at most is judged all the
      // same
    }
    late += nowMs > r.dueMs + grace.answerMs() ? 1 : 0;
    if (nowMs > r.dueMs + grace.lostMs()) {
      breach(
          1,
          nowMs,
          "request %s was answered %.0f ms after its client gave up",
          id,
          nowMs - r.dueMs);
    }
  }

  /**
   * The client has closed its connection, or whoever had the request was kept from its work by the
   * rig: no answer is owed.
   */
  public void left(String id) {
    Request r = open.get(id);
    if (r != null) {
      r.left = true;
    }
  }

  /** The proxy has ended the connection on which the request waited for its answer. */
  public void cutOff(String id, double nowMs) {
    Request r = open.get(id);
    if (r != null && r.told == null && !r.left) {
      breach(
          1,
          nowMs,
          "the connection of request %s, taken at %.3f s, was ended with no answer",
          id,
          r.takenMs / 1000);
      r.left = true; // said once
    }
  }

  /** The proxies have been told that this server drains or is gone. */
  public void leaves(String server, double toldMs) {
    leaving.putIfAbsent(server, toldMs);
  }

  /** It is on the list as ready again. */
  public void returns(String server) {
    leaving.remove(server);
  }

  /** A cold server was sent more than it may be. */
  public void pushedOver(String server, double nowMs, double sentMs, double allowedMs) {
    breach(
        4,
        nowMs,
        "%s, cold, was sent %.0f ms of work where %.0f are allowed",
        server,
        sentMs,
        allowedMs);
  }

  // ---- what it comes to

  /** Judges all requests whose time is over by now, and lets go of them. */
  public void settle(double nowMs) {
    open.values()
        .removeIf(
            r -> {
              // Late copies may still come for as long as an answer may, and what a client was told
              // be proved wrong.
              if (nowMs <= r.dueMs + grace.lostMs() + grace.answerMs()) {
                return false;
              }
              if (r.told == null && !r.left) {
                breach(
                    1,
                    nowMs,
                    "request %s, taken at %.3f s, was never answered",
                    r.id,
                    r.takenMs / 1000);
              }
              Run effect = r.runs.stream().filter(Run::took).findFirst().orElse(null);
              if (r.told == Told.REFUSED && r.effect != Effect.SAFE && effect != null) {
                breach(
                    2,
                    r.toldMs,
                    "request %s was refused at %.3f s and took effect at %s",
                    r.id,
                    r.toldMs / 1000,
                    effect.server());
              }
              judged++;
              return true;
            });
    keys.values().removeIf(k -> nowMs > k.atMs() + grace.keyedMs());
  }

  /** Breaches in the order in which they were found, the first {@link #MOST_KEPT}. */
  public List<Breach> breaches() {
    return List.copyOf(breaches);
  }

  /** All breaches, those that were not kept too. */
  public long breachCount() {
    return count;
  }

  /** Answers that came late and yet before their requests counted as lost. */
  public long late() {
    return late;
  }

  /**
   * Sends that were read too late and may have come in time: whoever read them was kept from it.
   */
  public long notKnown() {
    return notKnown;
  }

  /** Requests that were judged. */
  public long judged() {
    return judged;
  }

  /** Requests that are not judged yet. */
  public int open() {
    return open.size();
  }

  private void breach(int rule, double nowMs, String evidence, Object... of) {
    count++;
    if (breaches.size() < MOST_KEPT) {
      breaches.add(new Breach(rule, nowMs, String.format(Locale.ROOT, evidence, of)));
    }
  }
}
