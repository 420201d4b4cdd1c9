package cacheproxy.proxy.peers;

import cacheproxy.routing.RoutingApi;
import cacheproxy.shared.SharedState;
import cacheproxy.shared.VerdictEvidence;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What the tier shares on the peers' socket and the loop's clock: it believes, tells and spends by
 * {@link SharedState} alone. Loaded only where the operator's file switches it on. On the event
 * loop.
 */
public final class SharedLink {
  /** The one that calls the module. */
  public interface Caller {
    /** The module's clock, in milliseconds. */
    double now();

    /** Others' word on a server, for the module, once it has returned from its present call. */
    void word(int server, boolean out);

    void log(String line);
  }

  /** Changes that a call shows. */
  private static final int MOST_EVENTS = 64;

  /**
   * Lines of the log within {@link #LINES_MS}; what is more is counted. Guards the log when many
   * nodes go at once.
   */
  private static final int MOST_LINES = 30;

  private static final double LINES_MS = 10_000;

  /** Left out in tests that show what a part is for. */
  static Set<SharedState.Part> without = Set.of();

  private record Event(double atMs, int node, boolean out, String cause) {}

  private final EventLoop loop;
  private final Caller caller;
  private final SharedState state;
  private final SharedState.Terms terms;
  private final ArrayDeque<Event> events = new ArrayDeque<>();
  private double dueMs = Double.POSITIVE_INFINITY;
  private double linesFromMs;
  private int lines;
  private int untold;

  /** From now on this one shares with those who are there by {@code members}. On the event loop. */
  public SharedLink(
      EventLoop loop,
      PeerSocket socket,
      MemberLink members,
      SharedState.Terms terms,
      long seed,
      Caller caller) {
    this.loop = loop;
    this.caller = caller;
    this.terms = terms;
    // Two processes of one proxy may have been started with one seed.
    state =
        new SharedState(
            terms,
            seed ^ System.nanoTime(),
            caller.now(),
            new SharedState.Outlet() {
              @Override
              public void send(int proxy, byte[] message) {
                socket.write(proxy, message);
              }

              @Override
              public boolean present(int proxy) {
                return members.present(proxy);
              }

              @Override
              public int present() {
                return Math.max(1, members.alive());
              }

              @Override
              public void due(double atMs) {
                wakeAt(atMs);
              }

              @Override
              public void word(int node, boolean out) {
                caller.word(node, out);
              }

              @Override
              public void changed(double now, int node, boolean out, String cause) {
                told(new Event(now, node, out, cause));
              }
            },
            without);
    socket.onShared(
        (peer, message) -> {
          state.heard(caller.now(), peer, message);
          wakeAt(state.dueMs());
        });
    wakeAt(state.dueMs());
  }

  /** One timer is out at a time that matters; one that was set for later finds nothing to do. */
  private void wakeAt(double atMs) {
    if (atMs < dueMs) {
      dueMs = atMs;
      loop.schedule(
          () -> tick(atMs),
          (long) Math.max(0, (atMs - caller.now()) * 1000),
          TimeUnit.MICROSECONDS);
    }
  }

  private void tick(double atMs) {
    if (atMs != dueMs) {
      return;
    }
    dueMs = Double.POSITIVE_INFINITY;
    state.tick(caller.now());
    wakeAt(Math.max(caller.now() + 1, state.dueMs()));
  }

  /** What the module asks and tells. */
  public RoutingApi.Tier tier() {
    return state;
  }

  /** Another process of this proxy runs at the same address, or no longer does. */
  public void beside(boolean another) {
    state.beside(caller.now(), another);
  }

  private void told(Event e) {
    if (events.size() == MOST_EVENTS) {
      events.poll();
    }
    events.add(e);
    if (e.atMs - linesFromMs > LINES_MS) {
      if (untold > 0) {
        caller.log("shared.untold changes=" + untold);
      }
      linesFromMs = e.atMs;
      lines = untold = 0;
    }
    if (lines++ < MOST_LINES) {
      caller.log(
          "shared."
              + (e.out ? "out" : "back")
              + " node="
              + name(e.node)
              + " cause=\""
              + e.cause
              + '"');
    } else {
      untold++;
    }
  }

  private static String name(int node) {
    return String.format("%x", node);
  }

  /** All that is held, as JSON, for operators' calls. */
  public String json() {
    double now = caller.now();
    SharedState.View view = state.view(now);
    JsonObject all = new JsonObject();
    all.addProperty("me", terms.me());
    all.addProperty("out_by_others", view.outs());
    all.addProperty("evidence_learned", view.learned());
    all.addProperty("evidence_not_taken", view.dropped());
    all.addProperty("cold_spent", view.spent());
    all.addProperty("cold_refused", view.refused());
    all.addProperty("asked", view.asked());
    all.addProperty("sent_messages", view.sentMessages());
    all.addProperty("sent_bytes", view.sentBytes());
    all.addProperty("unsent_messages", view.unsent());
    JsonArray evidence = new JsonArray();
    for (VerdictEvidence e : view.evidence()) {
      JsonObject one = new JsonObject();
      one.addProperty("node", name(e.node()));
      one.addProperty("kind", e.kind().name().toLowerCase(Locale.ROOT));
      one.addProperty("witness", e.witness());
      one.addProperty("zone", e.zone());
      one.addProperty("age_ms", Math.round(now - e.atMs()));
      one.addProperty("ends_ms", Math.round(e.untilMs() - now));
      one.addProperty("out", state.out(e.node()));
      evidence.add(one);
    }
    all.add("evidence", evidence);
    JsonArray cold = new JsonArray();
    for (SharedState.ColdView c : view.cold()) {
      JsonObject one = new JsonObject();
      one.addProperty("node", name(c.node()));
      one.addProperty("keeper", c.keeper());
      one.addProperty("part", Math.round(c.part() * 1e4) / 1e4);
      one.addProperty("lent", Math.round(c.lent() * 1e4) / 1e4);
      one.addProperty("borrowed", Math.round(c.borrowed() * 1e4) / 1e4);
      cold.add(one);
    }
    all.add("cold", cold);
    JsonArray heard = new JsonArray();
    for (int p = 0; p < view.heardMs().length; p++) {
      JsonObject one = new JsonObject();
      one.addProperty("number", p);
      if (view.heardMs()[p] < Double.POSITIVE_INFINITY) {
        one.addProperty("heard_ms", Math.round(view.heardMs()[p]));
      }
      if (view.unheard().contains(p)) {
        one.addProperty("not_believed", true);
      }
      heard.add(one);
    }
    all.add("proxies", heard);
    JsonArray served = new JsonArray();
    for (double perS : view.answersPerS()) {
      served.add(Math.round(perS * 10) / 10.0);
    }
    all.add("tier_answers_per_s", served);
    JsonArray changes = new JsonArray();
    for (Event e : events) {
      JsonObject one = new JsonObject();
      one.addProperty("ago_ms", Math.round(now - e.atMs));
      one.addProperty("node", name(e.node));
      one.addProperty("out", e.out);
      one.addProperty("cause", e.cause);
      changes.add(one);
    }
    all.add("changes", changes);
    return all + "\n";
  }
}
