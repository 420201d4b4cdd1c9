package cacheproxy.fleet;

import cacheproxy.site.Scenario;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Report of a fleet run: the faults, the proxies' views and actual states over time, and the
 * network and CPU use of the proxies. The JSON and HTML forms include the load report.
 */
final class FleetReport {
  private record Fault(double atMs, String text) {}

  private static final int PLOT_WIDTH = 900;
  private static final int ROW_HEIGHT = 14;

  private final int proxies;
  private final double seconds;
  private final double startMs;
  private final List<Fault> faults = new ArrayList<>();

  /** Datagrams per second, bytes per second and CPU use in percent of one core, by proxy number. */
  private final double[][] usage;

  FleetReport(int proxies, double seconds, double beganMs) {
    this.proxies = proxies;
    this.seconds = seconds;
    this.startMs = beganMs;
    usage = new double[proxies][3];
  }

  synchronized void recordFault(double atMs, Scenario.Event e) {
    Scenario.ProxyFault b = e.proxyFault();
    String what = e.type().name().toLowerCase(Locale.ROOT);
    faults.add(
        new Fault(
            atMs,
            e.type().targetsProxies()
                ? what
                    + " "
                    + (e.type() == Scenario.FaultType.WIRE
                        ? "loss "
                            + b.loss()
                            + " delay "
                            + b.delayMs()
                            + " ms twice "
                            + b.duplicateShare()
                        : b.proxies()
                            + (e.type() == Scenario.FaultType.CUT
                                ? (b.bothDirections() ? " <-> " : " -> ")
                                    + b.receivers()
                                    + " "
                                    + b.paths()
                                : ""))
                : what + (e.node() >= 0 ? " node " + e.node() : "")));
  }

  synchronized void recordFaultEnd(double atMs, Scenario.Event e) {
    faults.add(
        new Fault(
            atMs,
            "end of " + e.type().name().toLowerCase(Locale.ROOT) + " " + e.proxyFault().proxies()));
  }

  synchronized int faults() {
    return faults.size();
  }

  void recordUsage(int p, long messages, long bytes, double cpuMs) {
    usage[p] = new double[] {messages / seconds, bytes / seconds, cpuMs / seconds / 10};
  }

  private double meanUsage(int column) {
    double sum = 0;
    for (double[] u : usage) {
      sum += u[column];
    }
    return sum / proxies;
  }

  synchronized String text(ObservedViews beliefs) {
    StringBuilder b = new StringBuilder();
    for (Fault f : faults) {
      b.append(String.format(Locale.ROOT, "%7.1f s  %s%n", (f.atMs - startMs) / 1000, f.text));
    }
    b.append(
            String.format(
                "views at the end (A alive, ~ alive but not heard directly, ? suspect, X dead or down, l leaving, "
                    + "g gone)%n"))
        .append(beliefs.table());
    b.append(
        String.format(
            Locale.ROOT,
            "mean per proxy: %.1f datagrams/s and %.0f bytes/s sent to other proxies, %.1f%% of a core%n",
            meanUsage(0),
            meanUsage(1),
            meanUsage(2)));
    for (ObservedViews.FalseMajority f : beliefs.falseMajorities()) {
      b.append(
          String.format(
              Locale.ROOT,
              "%7.1f s  n%d was running, but %d of %d proxies saw it as dead%n",
              (f.atMs() - startMs) / 1000,
              f.subject(),
              f.accuserCount(),
              f.voterCount()));
    }
    return b.toString();
  }

  synchronized String json(String load, ObservedViews beliefs, List<String> broken, long judged) {
    JsonObject all = new JsonObject();
    all.addProperty("proxies", proxies);
    all.addProperty("judged", judged);
    JsonArray breaches = new JsonArray();
    broken.forEach(breaches::add);
    all.add("broken", breaches);
    JsonArray events = new JsonArray();
    for (Fault f : faults) {
      JsonObject one = new JsonObject();
      one.addProperty("at_s", (f.atMs - startMs) / 1000);
      one.addProperty("fault", f.text);
      events.add(one);
    }
    all.add("faults", events);
    JsonArray changes = new JsonArray();
    for (ObservedViews.ViewChange c : beliefs.changes()) {
      JsonObject one = new JsonObject();
      one.addProperty("at_s", (c.atMs() - startMs) / 1000);
      one.addProperty("by", c.observer() < 0 ? "truth" : "n" + c.observer());
      one.addProperty("of", "n" + c.subject());
      one.addProperty("state", c.state());
      changes.add(one);
    }
    all.add("views", changes);
    JsonArray cost = new JsonArray();
    for (double[] u : usage) {
      JsonObject one = new JsonObject();
      one.addProperty("datagrams_per_s", u[0]);
      one.addProperty("bytes_per_s", u[1]);
      one.addProperty("cpu_percent", u[2]);
      cost.add(one);
    }
    all.add("used", cost);
    all.add("load", JsonParser.parseString(load));
    return new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n";
  }

  /**
   * The load report's page with a timeline added before it. The timeline has one row for each pair
   * of observing and observed proxy.
   */
  synchronized String html(String load, ObservedViews beliefs, String verdict) {
    List<ObservedViews.ViewChange> changes = beliefs.changes();
    double end = startMs + seconds * 1000 + 2000;
    StringBuilder b =
        new StringBuilder(
            "<h1>Fleet</h1><p>"
                + verdict
                + "</p><p>One block for each proxy: its actual state in the first row, "
                + "then its state as seen by each other proxy. <span style=\"color:#2b8a3e\">&#9632;</span> alive "
                + "<span style=\"color:#f59f00\">&#9632;</span> suspect, paused or slowed <span style=\"color:#c92a2a\">&#9632;</span> dead "
                + "<span style=\"color:#868e96\">&#9632;</span> leaving, gone, starting, unknown; lines: faults.</p>");
    int rows = proxies * (proxies + 1);
    b.append(
        "<svg width=\""
            + (PLOT_WIDTH + 60)
            + "\" height=\""
            + (rows * ROW_HEIGHT / 2 + proxies * 6 + 20)
            + "\">");
    int y = 0;
    for (int subject = 0; subject < proxies; subject++) {
      b.append("<text font-size=\"11\" x=\"0\" y=\"" + (y + 10) + "\">n" + subject + "</text>");
      for (int observer = -1; observer < proxies; observer++) {
        if (observer != subject) {
          appendRow(b, changes, observer, subject, y, end);
          y += ROW_HEIGHT / 2;
        }
      }
      y += 6;
    }
    for (Fault f : faults) {
      double x = xPosition(f.atMs, end);
      b.append(
          String.format(
              Locale.ROOT,
              "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%d\" stroke=\"#1864ab\" stroke-width=\"0.7\">"
                  + "<title>%.1f s %s</title></line>",
              x,
              x,
              y,
              (f.atMs - startMs) / 1000,
              f.text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;")));
    }
    b.append("</svg>");
    int at = load.indexOf("<h1>");
    return load.substring(0, at) + b + load.substring(at);
  }

  private double xPosition(double atMs, double end) {
    return 40 + Math.max(0, Math.min(1, (atMs - startMs) / (end - startMs))) * PLOT_WIDTH;
  }

  private void appendRow(
      StringBuilder b,
      List<ObservedViews.ViewChange> changes,
      int observer,
      int subject,
      int y,
      double end) {
    String state = null;
    double from = startMs;
    for (ObservedViews.ViewChange c : changes) {
      if (c.observer() == observer && c.subject() == subject) {
        appendBar(b, state, from, c.atMs(), y, observer < 0, end);
        state = c.state();
        from = c.atMs();
      }
    }
    appendBar(b, state, from, end, y, observer < 0, end);
  }

  private void appendBar(
      StringBuilder b, String state, double from, double to, int y, boolean truth, double end) {
    if (state == null || to <= startMs) {
      return;
    }
    String colour =
        switch (state) {
          case "alive", "serving" -> truth ? "#2b8a3e" : "#8ce99a";
          case "suspect", "paused", "slowed" -> "#f59f00";
          case "dead", "down" -> "#c92a2a";
          default -> "#868e96";
        };
    b.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>",
            xPosition(from, end),
            y,
            Math.max(0.3, xPosition(to, end) - xPosition(from, end)),
            ROW_HEIGHT / 2 - 1,
            colour));
  }
}
