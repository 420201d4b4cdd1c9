package cacheproxy.load;

import cacheproxy.load.ResultRecorder.RequestOutcome;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Locale;

/**
 * Formats the results of a load as text, as JSON with stable field names, and as a self-contained
 * HTML page with plots.
 */
public final class LoadReport {
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
  private static final String[] PERCENTILE_NAMES = {"p50", "p90", "p99", "p999", "max"};

  /**
   * If the 99th percentile of the schedule lag exceeds this, delays in the generator distort the
   * measured latencies and the report is not trusted.
   */
  static final double MAX_TRUSTED_P99_LAG_MS = 10;

  /** If any request is sent later after its due time than this, the report is not trusted. */
  static final double MAX_TRUSTED_LAG_MS = 100;

  private final ResultRecorder results;
  private final double seconds;
  private final boolean stoppedEarly;

  /**
   * @param seconds duration of the load, including the wait for the last answers
   * @param stoppedEarly true if the load was stopped before the end of its plan
   */
  public LoadReport(ResultRecorder results, double seconds, boolean stoppedEarly) {
    this.results = results;
    this.seconds = seconds;
    this.stoppedEarly = stoppedEarly;
  }

  /** Whether requests were sent close enough to their schedule for the latencies to be valid. */
  public boolean trusted() {
    return results.scheduleLagMs(99) <= MAX_TRUSTED_P99_LAG_MS
        && results.scheduleLagMs(100) <= MAX_TRUSTED_LAG_MS;
  }

  /** The report as text for a terminal. */
  public String text() {
    StringBuilder out = new StringBuilder();
    if (!trusted()) {
      out.append(
          String.format(
              Locale.ROOT,
              "FELL BEHIND: requests were written up to %.0f ms after they were due (p99 %.1f);"
                  + " the latencies include delays in the generator%n",
              results.scheduleLagMs(100),
              results.scheduleLagMs(99)));
    }
    if (stoppedEarly) {
      out.append("CUT SHORT: requests in flight at the end are not included\n");
    }
    ResultRecorder.ClassResults total = results.total();
    out.append(
        String.format(
            Locale.ROOT,
            "%d requests in %.1f s, %d attempts, %d connections; schedule lag %.2f ms (p50), %.2f (p99),"
                + " %.1f (max)%n",
            total.sent(),
            seconds,
            results.attempts,
            results.connections,
            results.scheduleLagMs(50),
            results.scheduleLagMs(99),
            results.scheduleLagMs(100)));
    out.append(
        String.format(
            "%-16s %9s %9s %7s %8s %7s %7s   %s%n",
            "class",
            "sent",
            "served",
            "late",
            "refused",
            "failed",
            "lost",
            "latency of served in ms: p50 p90 p99 p99.9 max; any outcome: p99.9"));
    for (int k = 0; k < results.requestClasses.size(); k++) {
      appendRow(out, results.requestClasses.get(k).name(), results.forClass(k));
    }
    appendRow(out, "all", total);
    if (results.resent + results.failedConnects + results.strayAnswers + results.unsent > 0) {
      out.append(
          String.format(
              "resent %d, failed connects %d, stray answers %d, never sent %d%n",
              results.resent, results.failedConnects, results.strayAnswers, results.unsent));
    }
    return out.toString();
  }

  private static void appendRow(
      StringBuilder out, String name, ResultRecorder.ClassResults results) {
    out.append(
        String.format(
            "%-16s %9d %9d %7d %8d %7d %7d  ",
            name,
            results.sent(),
            results.served(),
            results.count(RequestOutcome.LATE),
            results.count(RequestOutcome.REFUSED),
            results.count(RequestOutcome.FAILED),
            results.count(RequestOutcome.LOST)));
    for (double percentile : PERCENTILES) {
      out.append(String.format(Locale.ROOT, " %.1f", results.servedLatencyMs(percentile)));
    }
    out.append(String.format(Locale.ROOT, "; %.1f%n", results.completionTimeMs(99.9)));
  }

  /** The report as JSON. */
  public String json() {
    JsonObject json = resultsJson(results.total());
    JsonObject classes = new JsonObject();
    for (int k = 0; k < results.requestClasses.size(); k++) {
      classes.add(results.requestClasses.get(k).name(), resultsJson(results.forClass(k)));
    }
    json.add("classes", classes);
    JsonObject lag = new JsonObject();
    for (int i = 0; i < PERCENTILE_NAMES.length; i++) {
      lag.addProperty(PERCENTILE_NAMES[i], roundToMicros(results.scheduleLagMs(PERCENTILES[i])));
    }
    json.add("schedule_lag_ms", lag);
    json.addProperty("seconds", roundToMicros(seconds));
    json.addProperty("trusted", trusted());
    json.addProperty("cut_short", stoppedEarly);
    json.addProperty("tries", results.attempts);
    json.addProperty("resent", results.resent);
    json.addProperty("unconnected", results.failedConnects);
    json.addProperty("strays", results.strayAnswers);
    json.addProperty("unsent", results.unsent);
    json.addProperty("connections", results.connections);
    JsonArray bySecond = new JsonArray();
    for (long[] second : results.outcomesBySecond) {
      JsonArray outcomeCounts = new JsonArray();
      for (long n : second) {
        outcomeCounts.add(n);
      }
      bySecond.add(outcomeCounts);
    }
    json.add("by_second", bySecond);
    return new GsonBuilder().setPrettyPrinting().create().toJson(json) + "\n";
  }

  private static JsonObject resultsJson(ResultRecorder.ClassResults results) {
    JsonObject json = new JsonObject();
    json.addProperty("sent", results.sent());
    json.addProperty("served", results.served());
    json.addProperty("late", results.count(RequestOutcome.LATE));
    json.addProperty("refused", results.count(RequestOutcome.REFUSED));
    json.addProperty("failed", results.count(RequestOutcome.FAILED));
    json.addProperty("lost", results.count(RequestOutcome.LOST));
    JsonObject servedLatency = new JsonObject();
    JsonObject completionTime = new JsonObject();
    for (int i = 0; i < PERCENTILE_NAMES.length; i++) {
      servedLatency.addProperty(
          PERCENTILE_NAMES[i], roundToMicros(results.servedLatencyMs(PERCENTILES[i])));
      completionTime.addProperty(
          PERCENTILE_NAMES[i], roundToMicros(results.completionTimeMs(PERCENTILES[i])));
    }
    json.add("latency_ms", servedLatency);
    json.add("end_ms", completionTime);
    return json;
  }

  private static double roundToMicros(double ms) {
    return Math.round(ms * 1000) / 1000.0;
  }

  private static final String[] OUTCOME_COLORS = {
    "#2b8a3e", "#94d82d", "#f59f00", "#e8590c", "#c92a2a"
  };
  private static final int PLOT_WIDTH = 720;
  private static final int PLOT_HEIGHT = 260;

  /** The report as an HTML page. */
  public String html() {
    StringBuilder page =
        new StringBuilder(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Load report</title>"
                + "<style>body{font:14px sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>"
                + "<h1>Load report</h1><pre>");
    page.append(text().replace("&", "&amp;").replace("<", "&lt;"))
        .append("</pre><h2>Latency of served requests by percentile</h2>");
    plotLatencyByPercentile(page);
    page.append("<h2>Outcomes of requests by the second in which they were due</h2><p>");
    for (RequestOutcome outcome : RequestOutcome.values()) {
      page.append("<span style=\"color:")
          .append(OUTCOME_COLORS[outcome.ordinal()])
          .append("\">&#9632;</span> ")
          .append(outcome.name().toLowerCase(Locale.ROOT))
          .append(" ");
    }
    page.append("</p>");
    plotOutcomesBySecond(page);
    return page.append("</html>\n").toString();
  }

  /**
   * Plots the latency on a logarithmic axis. The horizontal axis gives equal width to 0-90%,
   * 90-99%, 99-99.9% and 99.9-99.99%.
   */
  private void plotLatencyByPercentile(StringBuilder page) {
    ResultRecorder.ClassResults total = results.total();
    double maxLog10Ms = Math.log10(Math.max(10, total.servedLatencyMs(100)));
    page.append(svgStart());
    StringBuilder points = new StringBuilder();
    for (int i = 0; i <= 80; i++) {
      double nines = i / 20.0;
      double ms = Math.max(0.1, total.servedLatencyMs(100 * (1 - Math.pow(10, -nines))));
      points.append(
          String.format(
              Locale.ROOT,
              "%.1f,%.1f ",
              50 + nines / 4 * (PLOT_WIDTH - 60),
              PLOT_HEIGHT - 30 - (Math.log10(ms) + 1) / (maxLog10Ms + 1) * (PLOT_HEIGHT - 40)));
    }
    for (int n = 0; n <= 4; n++) {
      page.append(
          svgText(
              50 + n / 4.0 * (PLOT_WIDTH - 60),
              PLOT_HEIGHT - 10,
              new String[] {"0%", "90%", "99%", "99.9%", "99.99%"}[n]));
    }
    for (int power = -1; power <= maxLog10Ms; power++) {
      page.append(
          svgText(
              2,
              PLOT_HEIGHT - 30 - (power + 1) / (maxLog10Ms + 1) * (PLOT_HEIGHT - 40),
              Math.pow(10, power) + " ms"));
    }
    page.append("<polyline fill=\"none\" stroke=\"#1864ab\" stroke-width=\"2\" points=\"")
        .append(points)
        .append("\"/></svg>");
  }

  private void plotOutcomesBySecond(StringBuilder page) {
    long maxPerSecond = 1;
    for (long[] s : results.outcomesBySecond) {
      long sum = 0;
      for (long n : s) {
        sum += n;
      }
      maxPerSecond = Math.max(maxPerSecond, sum);
    }
    page.append(svgStart());
    double barWidth = (PLOT_WIDTH - 60.0) / Math.max(1, results.outcomesBySecond.size());
    for (int s = 0; s < results.outcomesBySecond.size(); s++) {
      double y = PLOT_HEIGHT - 30;
      for (RequestOutcome outcome : RequestOutcome.values()) {
        double barHeight =
            results.outcomesBySecond.get(s)[outcome.ordinal()]
                * (PLOT_HEIGHT - 40.0)
                / maxPerSecond;
        y -= barHeight;
        page.append(
            String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                50 + s * barWidth,
                y,
                Math.max(0.5, barWidth - 1),
                barHeight,
                OUTCOME_COLORS[outcome.ordinal()]));
      }
    }
    page.append(svgText(50, PLOT_HEIGHT - 10, "0 s"))
        .append(svgText(PLOT_WIDTH - 50, PLOT_HEIGHT - 10, results.outcomesBySecond.size() + " s"))
        .append(svgText(2, 14, maxPerSecond + "/s"))
        .append("</svg>");
  }

  private static String svgStart() {
    return "<svg width=\"" + PLOT_WIDTH + "\" height=\"" + PLOT_HEIGHT + "\" role=\"img\">";
  }

  private static String svgText(double x, double y, String text) {
    return String.format(
        Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\" font-size=\"11\">%s</text>", x, y, text);
  }
}
