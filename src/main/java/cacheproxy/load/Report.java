package cacheproxy.load;

import cacheproxy.load.ResultRecorder.Last;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Locale;

/**
 * A tally as text, as JSON with names that stay, and as one HTML page with plots that needs nothing
 * else.
 */
public final class Report {
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
  private static final String[] NAMES = {"p50", "p90", "p99", "p999", "max"};

  /** Beyond these the generator itself was too late for its figures to be the target's. */
  static final double LAG_P99_MS = 10;

  static final double LAG_MOST_MS = 100;

  private final ResultRecorder tally;
  private final double seconds;
  private final boolean cutShort;

  /**
   * @param seconds that the load took, its last answers too
   * @param cutShort it was ended before its plan was
   */
  public Report(ResultRecorder tally, double seconds, boolean cutShort) {
    this.tally = tally;
    this.seconds = seconds;
    this.cutShort = cutShort;
  }

  /** Whether the schedule was kept well enough. */
  public boolean trusted() {
    return tally.lagMs(99) <= LAG_P99_MS && tally.lagMs(100) <= LAG_MOST_MS;
  }

  public String text() {
    StringBuilder b = new StringBuilder();
    if (!trusted()) {
      b.append(
          String.format(
              Locale.ROOT,
              "FELL BEHIND: requests were written up to %.0f ms after they were due (p99 %.1f);"
                  + " the figures are not the target's alone%n",
              tally.lagMs(100),
              tally.lagMs(99)));
    }
    if (cutShort) {
      b.append("CUT SHORT: what was open is not in here\n");
    }
    ResultRecorder.Part all = tally.whole();
    b.append(
        String.format(
            Locale.ROOT,
            "%d requests in %.1f s, %d tries, %d connections; schedule lag %.2f ms (p50), %.2f (p99),"
                + " %.1f (most)%n",
            all.sent(),
            seconds,
            tally.tries,
            tally.connections,
            tally.lagMs(50),
            tally.lagMs(99),
            tally.lagMs(100)));
    b.append(
        String.format(
            "%-16s %9s %9s %7s %8s %7s %7s   %s%n",
            "class",
            "sent",
            "served",
            "late",
            "refused",
            "failed",
            "lost",
            "served within ms: p50 p90 p99 p99.9 max; any end: p99.9"));
    for (int k = 0; k < tally.kinds.size(); k++) {
      row(b, tally.kinds.get(k).name(), tally.of(k));
    }
    row(b, "all", all);
    if (tally.resent + tally.unconnected + tally.strays + tally.unsent > 0) {
      b.append(
          String.format(
              "sent once more %d, never connected %d, answers astray %d, never written %d%n",
              tally.resent, tally.unconnected, tally.strays, tally.unsent));
    }
    return b.toString();
  }

  private static void row(StringBuilder b, String name, ResultRecorder.Part p) {
    b.append(
        String.format(
            "%-16s %9d %9d %7d %8d %7d %7d  ",
            name,
            p.sent(),
            p.served(),
            p.of(Last.LATE),
            p.of(Last.REFUSED),
            p.of(Last.FAILED),
            p.of(Last.LOST)));
    for (double percentile : PERCENTILES) {
      b.append(String.format(Locale.ROOT, " %.1f", p.servedMs(percentile)));
    }
    b.append(String.format(Locale.ROOT, "; %.1f%n", p.endMs(99.9)));
  }

  public String json() {
    JsonObject top = part(tally.whole());
    JsonObject classes = new JsonObject();
    for (int k = 0; k < tally.kinds.size(); k++) {
      classes.add(tally.kinds.get(k).name(), part(tally.of(k)));
    }
    top.add("classes", classes);
    JsonObject lag = new JsonObject();
    for (int i = 0; i < NAMES.length; i++) {
      lag.addProperty(NAMES[i], round(tally.lagMs(PERCENTILES[i])));
    }
    top.add("schedule_lag_ms", lag);
    top.addProperty("seconds", round(seconds));
    top.addProperty("trusted", trusted());
    top.addProperty("cut_short", cutShort);
    top.addProperty("tries", tally.tries);
    top.addProperty("resent", tally.resent);
    top.addProperty("unconnected", tally.unconnected);
    top.addProperty("strays", tally.strays);
    top.addProperty("unsent", tally.unsent);
    top.addProperty("connections", tally.connections);
    JsonArray line = new JsonArray();
    for (long[] second : tally.seconds) {
      JsonArray ends = new JsonArray();
      for (long n : second) {
        ends.add(n);
      }
      line.add(ends);
    }
    top.add("by_second", line);
    return new GsonBuilder().setPrettyPrinting().create().toJson(top) + "\n";
  }

  private static JsonObject part(ResultRecorder.Part p) {
    JsonObject o = new JsonObject();
    o.addProperty("sent", p.sent());
    o.addProperty("served", p.served());
    o.addProperty("late", p.of(Last.LATE));
    o.addProperty("refused", p.of(Last.REFUSED));
    o.addProperty("failed", p.of(Last.FAILED));
    o.addProperty("lost", p.of(Last.LOST));
    JsonObject served = new JsonObject();
    JsonObject ends = new JsonObject();
    for (int i = 0; i < NAMES.length; i++) {
      served.addProperty(NAMES[i], round(p.servedMs(PERCENTILES[i])));
      ends.addProperty(NAMES[i], round(p.endMs(PERCENTILES[i])));
    }
    o.add("latency_ms", served);
    o.add("end_ms", ends);
    return o;
  }

  private static double round(double ms) {
    return Math.round(ms * 1000) / 1000.0;
  }

  private static final String[] COLOURS = {"#2b8a3e", "#94d82d", "#f59f00", "#e8590c", "#c92a2a"};
  private static final int WIDE = 720;
  private static final int HIGH = 260;

  public String html() {
    StringBuilder b =
        new StringBuilder(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Load report</title>"
                + "<style>body{font:14px sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>"
                + "<h1>Load report</h1><pre>");
    b.append(text().replace("&", "&amp;").replace("<", "&lt;"))
        .append("</pre><h2>Served within, by percentile</h2>");
    byPercentile(b);
    b.append("<h2>Requests by the second in which they were due</h2><p>");
    for (Last last : Last.values()) {
      b.append("<span style=\"color:")
          .append(COLOURS[last.ordinal()])
          .append("\">&#9632;</span> ")
          .append(last.name().toLowerCase(Locale.ROOT))
          .append(" ");
    }
    b.append("</p>");
    bySecond(b);
    return b.append("</html>\n").toString();
  }

  /**
   * Each further nine of the percentile takes as much room; the time is on a scale of powers of
   * ten.
   */
  private void byPercentile(StringBuilder b) {
    ResultRecorder.Part all = tally.whole();
    double most = Math.log10(Math.max(10, all.servedMs(100)));
    b.append(svg());
    StringBuilder points = new StringBuilder();
    for (int i = 0; i <= 80; i++) {
      double nines = i / 20.0;
      double ms = Math.max(0.1, all.servedMs(100 * (1 - Math.pow(10, -nines))));
      points.append(
          String.format(
              Locale.ROOT,
              "%.1f,%.1f ",
              50 + nines / 4 * (WIDE - 60),
              HIGH - 30 - (Math.log10(ms) + 1) / (most + 1) * (HIGH - 40)));
    }
    for (int n = 0; n <= 4; n++) {
      b.append(
          text(
              50 + n / 4.0 * (WIDE - 60),
              HIGH - 10,
              new String[] {"0%", "90%", "99%", "99.9%", "99.99%"}[n]));
    }
    for (int ten = -1; ten <= most; ten++) {
      b.append(
          text(2, HIGH - 30 - (ten + 1) / (most + 1) * (HIGH - 40), Math.pow(10, ten) + " ms"));
    }
    b.append("<polyline fill=\"none\" stroke=\"#1864ab\" stroke-width=\"2\" points=\"")
        .append(points)
        .append("\"/></svg>");
  }

  private void bySecond(StringBuilder b) {
    long most = 1;
    for (long[] s : tally.seconds) {
      long sum = 0;
      for (long n : s) {
        sum += n;
      }
      most = Math.max(most, sum);
    }
    b.append(svg());
    double wide = (WIDE - 60.0) / Math.max(1, tally.seconds.size());
    for (int s = 0; s < tally.seconds.size(); s++) {
      double y = HIGH - 30;
      for (Last last : Last.values()) {
        double high = tally.seconds.get(s)[last.ordinal()] * (HIGH - 40.0) / most;
        y -= high;
        b.append(
            String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                50 + s * wide,
                y,
                Math.max(0.5, wide - 1),
                high,
                COLOURS[last.ordinal()]));
      }
    }
    b.append(text(50, HIGH - 10, "0 s"))
        .append(text(WIDE - 50, HIGH - 10, tally.seconds.size() + " s"))
        .append(text(2, 14, most + "/s"))
        .append("</svg>");
  }

  private static String svg() {
    return "<svg width=\"" + WIDE + "\" height=\"" + HIGH + "\" role=\"img\">";
  }

  private static String text(double x, double y, String text) {
    return String.format(
        Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\" font-size=\"11\">%s</text>", x, y, text);
  }
}
