package cacheproxy.proxy.peers;

import cacheproxy.shared.SharedStateView;
import cacheproxy.shared.VerdictEvidence;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.function.IntPredicate;

/**
 * Converts a {@link SharedStateView} to the JSON of {@code GET /ops/shared}. The keys are
 * documented for operators (docs/shared-state.md) and must not change, although the names in the
 * code differ.
 */
final class SharedStateJson {
  /** Shares of a quota are rounded to four decimals. */
  private static final double SHARE_PRECISION = 1e4;

  private SharedStateJson() {}

  /**
   * Returns the complete answer except for the trailing newline.
   *
   * @param isExcluded whether this proxy excludes a cache node because of other proxies' verdicts
   * @param changes the latest changes of verdicts
   */
  static JsonObject of(
      double now, int me, SharedStateView view, IntPredicate isExcluded, JsonArray changes) {
    JsonObject all = new JsonObject();
    all.addProperty("me", me);
    all.addProperty("out_by_others", view.excludedNodes());
    all.addProperty("evidence_learned", view.acceptedEvidence());
    all.addProperty("evidence_not_taken", view.rejectedEvidence());
    all.addProperty("cold_spent", view.spentRequests());
    all.addProperty("cold_refused", view.refusedRequests());
    all.addProperty("asked", view.pulls());
    all.addProperty("sent_messages", view.sentMessages());
    all.addProperty("sent_bytes", view.sentBytes());
    all.addProperty("unsent_messages", view.unsentMessages());
    all.add("evidence", evidence(now, view, isExcluded));
    all.add("cold", warmingNodes(view));
    all.add("proxies", proxies(view));
    all.add("tier_answers_per_s", answersPerSecond(view));
    all.add("changes", changes);
    return all;
  }

  private static JsonArray evidence(double now, SharedStateView view, IntPredicate isExcluded) {
    JsonArray all = new JsonArray();
    for (VerdictEvidence evidence : view.evidence()) {
      JsonObject one = new JsonObject();
      one.addProperty("node", VerdictLog.nodeName(evidence.node()));
      one.addProperty("kind", evidence.kind().jsonName());
      one.addProperty("witness", evidence.observer());
      one.addProperty("zone", evidence.zone());
      one.addProperty("age_ms", Math.round(now - evidence.observedMs()));
      one.addProperty("ends_ms", Math.round(evidence.expiresMs() - now));
      one.addProperty("out", isExcluded.test(evidence.node()));
      all.add(one);
    }
    return all;
  }

  private static JsonArray warmingNodes(SharedStateView view) {
    JsonArray all = new JsonArray();
    for (SharedStateView.WarmingNode node : view.warmingNodes()) {
      JsonObject one = new JsonObject();
      one.addProperty("node", VerdictLog.nodeName(node.node()));
      one.addProperty("keeper", node.leaseHolder());
      one.addProperty("part", rounded(node.spendableShare()));
      one.addProperty("lent", rounded(node.lentShare()));
      one.addProperty("borrowed", rounded(node.borrowedShare()));
      all.add(one);
    }
    return all;
  }

  private static double rounded(double share) {
    return Math.round(share * SHARE_PRECISION) / SHARE_PRECISION;
  }

  private static JsonArray proxies(SharedStateView view) {
    JsonArray all = new JsonArray();
    for (int proxy = 0; proxy < view.sinceResponseMs().length; proxy++) {
      JsonObject one = new JsonObject();
      one.addProperty("number", proxy);
      if (view.sinceResponseMs()[proxy] < Double.POSITIVE_INFINITY) {
        one.addProperty("heard_ms", Math.round(view.sinceResponseMs()[proxy]));
      }
      if (view.distrustedProxies().contains(proxy)) {
        one.addProperty("not_believed", true);
      }
      all.add(one);
    }
    return all;
  }

  private static JsonArray answersPerSecond(SharedStateView view) {
    JsonArray all = new JsonArray();
    for (double rate : view.answersPerSecond()) {
      all.add(Math.round(rate * 10) / 10.0);
    }
    return all;
  }
}
