package cacheproxy.admin;

import java.util.List;

/**
 * What has become of requests, counted from the start of the process. Plain fields: counted and
 * read on the one thread that owns it, as each request passes here.
 */
public final class Metrics {
  /**
   * How a request ended for its client. One that ended after its client had left is not counted.
   */
  public enum End {
    ANSWERED,
    DEFERRED,
    ERRORED
  }

  private static final int ENDS = End.values().length;

  private final List<String> classes;
  private final long[] ended;
  private long sends;

  /**
   * @param classes the names of the classes of requests, by their numbers
   */
  public Metrics(List<String> classes) {
    this.classes = List.copyOf(classes);
    ended = new long[this.classes.size() * ENDS];
  }

  /** A request of this class has had its final answer. */
  public void ended(int serviceClass, End end) {
    ended[serviceClass * ENDS + end.ordinal()]++;
  }

  /** An attempt was written whole. */
  public void sent() {
    sends++;
  }

  public long sends() {
    return sends;
  }

  public long of(int serviceClass, End end) {
    return ended[serviceClass * ENDS + end.ordinal()];
  }

  /**
   * All of it as one JSON object.
   *
   * @param open requests taken and not ended
   * @param listed nodes on the list
   * @param avoided how many of these get nothing new, by hand or by choice
   * @param read configurations that were read and are used since the start
   * @param refused configurations that could not be used
   */
  public String json(int open, int listed, int avoided, int read, int refused) {
    StringBuilder json = new StringBuilder(256).append('{');
    for (End end : End.values()) {
      json.append('"').append(name(end)).append("\":{");
      for (int c = 0; c < classes.size(); c++) {
        json.append(c == 0 ? "" : ",");
        quote(json, classes.get(c)).append(':').append(of(c, end));
      }
      json.append("},");
    }
    return json.append("\"sends\":")
        .append(sends)
        .append(",\"current\":")
        .append(open)
        .append(",\"cluster_size\":")
        .append(listed)
        .append(",\"cluster_unhealthy\":")
        .append(avoided)
        .append(",\"conf_loaded\":")
        .append(read)
        .append(",\"conf_invalid\":")
        .append(refused)
        .append("}\n")
        .toString();
  }

  private static String name(End end) {
    return switch (end) {
      case ANSWERED -> "answered";
      case DEFERRED -> "deferred";
      case ERRORED -> "errored";
    };
  }

  /** RFC 8259, section 7. */
  private static StringBuilder quote(StringBuilder json, String text) {
    json.append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        json.append('\\').append(c);
      } else if (c < ' ') {
        json.append("\\u").append(Integer.toHexString(0x10000 | c).substring(1));
      } else {
        json.append(c);
      }
    }
    return json.append('"');
  }
}
