package cacheproxy.load;

import java.util.List;

/**
 * A class of requests that clients send.
 *
 * @param share relative weight of this class among all requests, in any unit
 * @param write true if requests are sent as {@code ms} with a value, false if as {@code mg}
 * @param hasIdempotencyKey whether requests carry an idempotency key, the same on each attempt
 * @param idempotent whether a client may retry after any outcome of an attempt
 * @param latencyObjectiveMs latency above which a served request counts as late
 * @param timeoutMs timeout of a request over all its attempts, counted from its due time
 */
public record RequestClass(
    String name,
    double share,
    boolean write,
    boolean hasIdempotencyKey,
    boolean idempotent,
    double latencyObjectiveMs,
    double timeoutMs) {
  /** The request classes of the site and their shares. */
  public static final List<RequestClass> DEFAULTS =
      List.of(
          new RequestClass("text", 57, false, false, true, 250, 1000),
          new RequestClass("image", 38, false, false, true, 300, 1000),
          new RequestClass("submit", 2.7, true, false, false, 250, 600),
          new RequestClass("publish", 1.8, true, true, false, 500, 1000));
}
