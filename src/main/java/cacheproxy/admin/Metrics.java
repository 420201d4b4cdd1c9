package cacheproxy.admin;

import java.util.List;

/**
 * Counters of requests since the start of the process. Confined to the proxy's event loop, so that
 * counting a request needs no synchronization.
 */
public final class Metrics {
  /**
   * The result of a request for its client. A request whose client disconnected before the result
   * is not counted.
   */
  public enum Result {
    /** The response of a cache node or the origin was forwarded to the client. */
    SERVED("answered"),
    /** The proxy rejected the request, and the client may retry it later. */
    REJECTED("deferred"),
    /** The request failed. */
    FAILED("errored");

    /**
     * The key in the JSON of the operators' metrics call. It is an external interface and must not
     * change.
     */
    private final String jsonKey;

    Result(String jsonKey) {
      this.jsonKey = jsonKey;
    }
  }

  /**
   * Current values, read at the time of an operator's call.
   *
   * @param requestsInFlight requests that have been accepted and have not ended
   * @param listedNodes cache nodes on the endpoint list
   * @param avoidedNodes listed cache nodes that get no new requests, because they are ejected,
   *     draining or unreachable
   * @param configurationsLoaded number of times that a configuration was read and applied
   * @param configurationsInvalid number of times that a configuration was read and rejected as
   *     invalid
   */
  public record Gauges(
      int requestsInFlight,
      int listedNodes,
      int avoidedNodes,
      int configurationsLoaded,
      int configurationsInvalid) {}

  private static final Result[] RESULTS = Result.values();

  private static final int INITIAL_JSON_LENGTH = 256;

  private final List<String> serviceClasses;

  /** Number of ended requests of each service class and result; see {@link #index}. */
  private final long[] requests;

  private long attempts;
  private long ambiguousRejections;

  /**
   * Creates counters that start at 0.
   *
   * @param serviceClasses names of the service classes, in the order of their indexes
   */
  public Metrics(List<String> serviceClasses) {
    this.serviceClasses = List.copyOf(serviceClasses);
    requests = new long[this.serviceClasses.size() * RESULTS.length];
  }

  /** Counts an ended request of this service class. */
  public void requestEnded(int serviceClass, Result result) {
    requests[index(serviceClass, result)]++;
  }

  /** Counts an attempt that has been completely written to a cache node or the origin. */
  public void attemptSent() {
    attempts++;
  }

  /**
   * Counts a rejection by a cache node that carries no id and could belong to several requests, so
   * that an attempt that must not be repeated counts as failed.
   */
  public void ambiguousRejection() {
    ambiguousRejections++;
  }

  /** Returns the number of rejections that could belong to several requests. */
  public long ambiguousRejections() {
    return ambiguousRejections;
  }

  /** Returns the number of requests of this service class that ended with this result. */
  public long requests(int serviceClass, Result result) {
    return requests[index(serviceClass, result)];
  }

  /** Returns all counters and the given gauges as a JSON object, followed by a line break. */
  public String toJson(Gauges gauges) {
    StringBuilder json = new StringBuilder(INITIAL_JSON_LENGTH).append('{');
    for (Result result : RESULTS) {
      appendRequests(json, result);
      json.append(',');
    }
    appendCount(json, "sends", attempts).append(',');
    appendCount(json, "current", gauges.requestsInFlight()).append(',');
    appendCount(json, "cluster_size", gauges.listedNodes()).append(',');
    appendCount(json, "cluster_unhealthy", gauges.avoidedNodes()).append(',');
    appendCount(json, "conf_loaded", gauges.configurationsLoaded()).append(',');
    appendCount(json, "conf_invalid", gauges.configurationsInvalid()).append(',');
    appendCount(json, "ambiguous_rejections", ambiguousRejections);
    return json.append("}\n").toString();
  }

  private static int index(int serviceClass, Result result) {
    return serviceClass * RESULTS.length + result.ordinal();
  }

  private void appendRequests(StringBuilder json, Result result) {
    appendQuoted(json, result.jsonKey).append(":{");
    for (int serviceClass = 0; serviceClass < serviceClasses.size(); serviceClass++) {
      json.append(serviceClass == 0 ? "" : ",");
      appendCount(json, serviceClasses.get(serviceClass), requests(serviceClass, result));
    }
    json.append('}');
  }

  private static StringBuilder appendCount(StringBuilder json, String key, long count) {
    return appendQuoted(json, key).append(':').append(count);
  }

  /** Appends a text as a JSON string, escaped as RFC 8259, section 7 requires. */
  private static StringBuilder appendQuoted(StringBuilder json, String text) {
    json.append('"');
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '"' || character == '\\') {
        json.append('\\').append(character);
      } else if (character < ' ') {
        json.append("\\u").append(Integer.toHexString(0x10000 | character).substring(1));
      } else {
        json.append(character);
      }
    }
    return json.append('"');
  }
}
