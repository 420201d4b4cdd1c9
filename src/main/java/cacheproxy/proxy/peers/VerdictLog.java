package cacheproxy.proxy.peers;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Records changes of the tier's health verdicts on cache nodes, which are reached by gossip. Keeps
 * the latest changes for {@code GET /ops/shared}, and logs them at a limited rate, so that
 * simultaneous failures of many nodes do not flood the log. Not thread-safe.
 */
final class VerdictLog {
  private static final int MAX_KEPT = 64;

  /** Maximum number of lines in {@link #INTERVAL_MS}. Further changes are only counted. */
  private static final int MAX_LINES = 30;

  private static final double INTERVAL_MS = 10_000;

  private record Change(double atMs, int node, boolean excluded, String cause) {}

  private final Consumer<String> log;
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private double intervalBeganMs;
  private int lines;
  private int suppressed;

  /**
   * @param log receives each log line
   */
  VerdictLog(Consumer<String> log) {
    this.log = log;
  }

  void record(double now, int node, boolean excluded, String cause) {
    if (changes.size() == MAX_KEPT) {
      changes.poll();
    }
    changes.add(new Change(now, node, excluded, cause));
    if (now - intervalBeganMs > INTERVAL_MS) {
      beginInterval(now);
    }
    if (lines++ >= MAX_LINES) {
      suppressed++;
      return;
    }
    String event = excluded ? "out" : "back";
    log.accept("shared." + event + " node=" + nodeName(node) + " cause=\"" + cause + '"');
  }

  private void beginInterval(double now) {
    if (suppressed > 0) {
      log.accept("shared.untold changes=" + suppressed);
    }
    intervalBeganMs = now;
    lines = 0;
    suppressed = 0;
  }

  /** Returns a node's name as shown to operators: its number in hexadecimal. */
  static String nodeName(int node) {
    return String.format("%x", node);
  }

  /** Returns the recorded changes as JSON, oldest first. */
  JsonArray json(double now) {
    JsonArray all = new JsonArray();
    for (Change change : changes) {
      JsonObject one = new JsonObject();
      one.addProperty("ago_ms", Math.round(now - change.atMs));
      one.addProperty("node", nodeName(change.node));
      one.addProperty("out", change.excluded);
      one.addProperty("cause", change.cause);
      all.add(one);
    }
    return all;
  }
}
