package cacheproxy.proxy.peers;

import cacheproxy.membership.MemberState;
import cacheproxy.membership.MembershipView;
import cacheproxy.membership.StateChange;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Collection;
import java.util.Locale;

/** Builds the answer of {@code GET /ops/members}. Its keys are part of the operators' interface. */
final class MembershipJson {
  /** Times in ms are rounded to three decimals. */
  private static final double DECIMALS = 1000;

  private MembershipJson() {}

  /**
   * Returns a view and its latest changes as JSON text.
   *
   * @param aliveCount the number of members that accept clients in the view
   * @param nowMs the present time, on the same clock as the times of the changes
   */
  static String of(
      MembershipView view, int aliveCount, Collection<StateChange> changes, double nowMs) {
    JsonObject json = new JsonObject();
    json.addProperty("me", view.self());
    json.addProperty("alive", aliveCount);
    json.addProperty("doubtful", view.unreliable());
    json.addProperty("health", view.healthScore());
    json.addProperty("delay_ms", rounded(view.roundTripMs().orElse(0)));
    json.addProperty("sent_messages", view.sentMessages());
    json.addProperty("sent_bytes", view.sentBytes());
    JsonArray members = new JsonArray();
    for (int number = 0; number < view.members().size(); number++) {
      members.add(member(number, view.members().get(number)));
    }
    json.add("members", members);
    JsonArray changesJson = new JsonArray();
    changes.forEach(change -> changesJson.add(change(change, nowMs)));
    json.add("changes", changesJson);
    return json + "\n";
  }

  private static JsonObject member(int number, MembershipView.Member member) {
    JsonObject json = new JsonObject();
    json.addProperty("number", number);
    json.addProperty("state", nameOf(member.state()));
    json.addProperty("incarnation", member.incarnation());
    json.addProperty("age_ms", Math.round(member.stateAgeMs()));
    member.sinceHeardMs().ifPresent(heardMs -> json.addProperty("heard_ms", Math.round(heardMs)));
    json.addProperty("direct", member.direct());
    if (!member.accusers().isEmpty()) {
      JsonArray accusers = new JsonArray();
      member.accusers().forEach(accusers::add);
      json.add("accusers", accusers);
    }
    return json;
  }

  private static JsonObject change(StateChange change, double nowMs) {
    JsonObject json = new JsonObject();
    json.addProperty("ago_ms", Math.round(nowMs - change.atMs()));
    json.addProperty("member", change.member());
    json.addProperty("was", nameOf(change.from()));
    json.addProperty("state", nameOf(change.to()));
    json.addProperty("incarnation", change.incarnation());
    json.addProperty("cause", change.cause());
    return json;
  }

  /** Returns a state's name in JSON and in the log. */
  static String nameOf(MemberState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }

  private static double rounded(double valueMs) {
    return Math.round(valueMs * DECIMALS) / DECIMALS;
  }
}
