package cacheproxy.proxy.admin;

import java.util.Optional;

/**
 * The operators' HTTP calls. Their paths and methods are an external interface and must not change.
 */
enum OperatorRoute {
  READINESS("GET", "/ops/readiness"),
  METRICS("GET", "/ops/stats"),
  MEMBERSHIP_VIEW("GET", "/ops/members"),
  SHARED_STATE_VIEW("GET", "/ops/shared"),
  EJECT_NODE("PUT", "/ops/cache-nodes/down"),
  REINSTATE_NODE("PUT", "/ops/cache-nodes/up");

  private final String method;
  private final String path;

  OperatorRoute(String method, String path) {
    this.method = method;
    this.path = path;
  }

  /** Returns the only HTTP method that this call allows. */
  String method() {
    return method;
  }

  /**
   * Returns the route of a request target, ignoring its query string; empty if the path is unknown.
   */
  static Optional<OperatorRoute> ofTarget(String target) {
    int queryAt = target.indexOf('?');
    String path = queryAt < 0 ? target : target.substring(0, queryAt);
    for (OperatorRoute route : values()) {
      if (route.path.equals(path)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
