package cacheproxy.proxy.peers;

import cacheproxy.membership.Membership;
import cacheproxy.membership.Timing;
import cacheproxy.membership.View;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Membership on the peers' socket and the loop's clock: it asks, judges and tells by {@link
 * Membership} alone. Loaded only where the operator's file switches it on. On the event loop.
 */
public final class MemberLink {
  /** Changes that a call shows. */
  private static final int MOST_EVENTS = 64;

  /**
   * Lines of the log within {@link #LINES_MS}; what is more is counted. Guards the log when a tier
   * falls apart.
   */
  private static final int MOST_LINES = 50;

  private static final double LINES_MS = 10_000;

  private final EventLoop loop;
  private final Membership membership;
  private final Consumer<String> log;
  private final ArrayDeque<Membership.Event> events = new ArrayDeque<>();
  private Runnable whenOneServes;
  private double linesFromMs;
  private int lines;
  private int untold;
  private boolean wasDoubtful;

  /** From now on this one is a member, that starts. On the event loop. */
  public MemberLink(
      EventLoop loop,
      PeerSocket socket,
      int tier,
      int me,
      Timing timing,
      long seed,
      Consumer<String> log) {
    this.loop = loop;
    this.log = log;
    // Two processes of one proxy may have been started with one seed.
    membership =
        new Membership(
            tier,
            me,
            timing,
            seed ^ System.nanoTime(),
            now(),
            new Membership.Outlet() {
              @Override
              public void send(int member, byte[] message) {
                socket.write(member, message);
              }

              @Override
              public void changed(Membership.Event event) {
                told(event);
              }
            });
    socket.onMembers(
        new PeerSocket.MemberListener() {
          @Override
          public void heard(int peer, byte[] message) {
            membership.heard(now(), peer, message);
            lookAround();
          }

          @Override
          public void whenOneServes(Runnable then) {
            whenOneServes = then;
            lookAround();
          }

          @Override
          public void serving() {
            whenOneServes = null;
            membership.serving(now());
          }
        });
    tick();
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void tick() {
    double now = now();
    membership.tick(now);
    lookAround();
    double due = membership.dueMs();
    if (due < Double.POSITIVE_INFINITY) {
      loop.schedule(this::tick, (long) Math.max(1, Math.ceil(due - now)), TimeUnit.MILLISECONDS);
    }
  }

  private void lookAround() {
    if (whenOneServes != null && membership.anotherServes()) {
      Runnable then = whenOneServes;
      whenOneServes = null;
      then.run();
    }
    if (membership.doubtful() != wasDoubtful) {
      wasDoubtful = !wasDoubtful;
      line("membership.ears " + (wasDoubtful ? "lost: judges nobody until it is heard" : "proven"));
    }
  }

  private void told(Membership.Event e) {
    if (events.size() == MOST_EVENTS) {
      events.poll();
    }
    events.add(e);
    line(
        "membership."
            + e.to().name().toLowerCase(Locale.ROOT)
            + " member="
            + e.member()
            + " was="
            + e.from().name().toLowerCase(Locale.ROOT)
            + " incarnation="
            + e.incarnation()
            + " cause=\""
            + e.cause()
            + '"');
  }

  private void line(String text) {
    double now = now();
    if (now - linesFromMs > LINES_MS) {
      if (untold > 0) {
        log.accept("membership.untold changes=" + untold);
      }
      linesFromMs = now;
      lines = untold = 0;
    }
    if (lines++ < MOST_LINES) {
      log.accept(text);
    } else {
      untold++;
    }
  }

  /** This one was told to end, and no other process takes its place. */
  public void leaving() {
    membership.leaving(now());
  }

  /** Another process of this proxy runs at the same address, or no longer does. */
  public void beside(boolean another) {
    membership.beside(now(), another);
  }

  /** How many take clients by this view. */
  public int alive() {
    return membership.alive();
  }

  /** Whether that one is there by this view. */
  public boolean present(int member) {
    return membership.present(member);
  }

  /** There and back on the median; 0: not known. */
  public double delayMs() {
    return membership.delayMs();
  }

  /** The view as JSON, for operators' calls. */
  public String json() {
    double now = now();
    View view = membership.view(now);
    JsonObject all = new JsonObject();
    all.addProperty("me", view.me());
    all.addProperty("alive", membership.alive());
    all.addProperty("doubtful", view.doubtful());
    all.addProperty("health", view.health());
    all.addProperty("delay_ms", round(view.delayMs()));
    all.addProperty("sent_messages", view.sentMessages());
    all.addProperty("sent_bytes", view.sentBytes());
    JsonArray members = new JsonArray();
    for (int m = 0; m < view.members().size(); m++) {
      View.Member of = view.members().get(m);
      JsonObject one = new JsonObject();
      one.addProperty("number", m);
      one.addProperty("state", of.state().name().toLowerCase(Locale.ROOT));
      one.addProperty("incarnation", of.incarnation());
      one.addProperty("age_ms", Math.round(of.ageMs()));
      if (of.heardMs() < Double.POSITIVE_INFINITY) {
        one.addProperty("heard_ms", Math.round(of.heardMs()));
      }
      one.addProperty("direct", of.direct());
      if (!of.accusers().isEmpty()) {
        JsonArray by = new JsonArray();
        of.accusers().forEach(by::add);
        one.add("accusers", by);
      }
      members.add(one);
    }
    all.add("members", members);
    JsonArray changes = new JsonArray();
    for (Membership.Event e : events) {
      JsonObject one = new JsonObject();
      one.addProperty("ago_ms", Math.round(now - e.atMs()));
      one.addProperty("member", e.member());
      one.addProperty("was", e.from().name().toLowerCase(Locale.ROOT));
      one.addProperty("state", e.to().name().toLowerCase(Locale.ROOT));
      one.addProperty("incarnation", e.incarnation());
      one.addProperty("cause", e.cause());
      changes.add(one);
    }
    all.add("changes", changes);
    return all + "\n";
  }

  private static double round(double ms) {
    return Math.round(ms * 1000) / 1000.0;
  }
}
