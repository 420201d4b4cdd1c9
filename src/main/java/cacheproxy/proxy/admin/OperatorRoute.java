package cacheproxy.proxy.admin;

import java.util.Optional;

/** The operators' calls. Paths and methods are fixed by the platform's pages. */
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

  /** Returns the name of the only HTTP method that the path allows. */
  String method() {
    return method;
  }

  /** Returns the route of a request's target, whose query is ignored; empty for another path. */
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
