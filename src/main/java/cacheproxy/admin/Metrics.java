package cacheproxy.admin;

import java.util.List;

/**
 * Counters of requests since the start of the process. Plain fields, as every request passes here:
 * written and read on the proxy's event loop alone.
 */
public final class Metrics {
  /**
   * How a request ended for its client. A request whose client had disconnected before is not
   * counted.
   */
  public enum Result {
    /** A cache node's or the origin's response was passed on. */
    SERVED("answered"),
    /** The client was told to come back later. */
    REJECTED("deferred"),
    /** The request failed. */
    FAILED("errored");

    /** The name in the JSON of the operators' call, which the platform's pages fix. */
    private final String jsonKey;

    Result(String jsonKey) {
      this.jsonKey = jsonKey;
    }
  }

  /**
   * Values read at the time of an operator's call.
   *
   * @param requestsInFlight requests accepted and not ended
   * @param listedNodes cache nodes on the endpoint list
   * @param avoidedNodes those of them that get no new requests: ejected, draining or unreachable
   * @param configurationsLoaded configurations read and used
   * @param configurationsInvalid configurations read and rejected
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

  /** By service class and, within it, by result. */
  private final long[] requests;

  private long attempts;

  /**
   * Creates counters that are all 0.
   *
   * @param serviceClasses names of the requests' service classes, by number
   */
  public Metrics(List<String> serviceClasses) {
    this.serviceClasses = List.copyOf(serviceClasses);
    requests = new long[this.serviceClasses.size() * RESULTS.length];
  }

  /** Counts a request of this service class that has got its final response. */
  public void requestEnded(int serviceClass, Result result) {
    requests[index(serviceClass, result)]++;
  }

  /** Counts an attempt whose last byte was written to a cache node or the origin. */
  public void attemptSent() {
    attempts++;
  }

  /** Returns how many requests of this service class ended so. */
  public long requests(int serviceClass, Result result) {
    return requests[index(serviceClass, result)];
  }

  /** Returns all counters and the given gauges as one JSON object and a line break. */
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
    appendCount(json, "conf_invalid", gauges.configurationsInvalid());
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

  /** Appends a JSON string (RFC 8259, section 7). */
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
