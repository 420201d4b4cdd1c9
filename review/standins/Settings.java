package standins;

/**
 * The settings of a proxy (WIRE, "What an instance is born with").
 *
 * @param zone the zone of all cache nodes
 * @param kind the kind of all cache nodes
 * @param json the settings, in the form of DEPLOY
 */
public record Settings(String zone, String kind, String json) {
  private static final int SOCKETS = 1024;
  private static final int MEMORY_MB = 128;

  /** The site hcm-render with six proxies. */
  public static final Settings HCM_RENDER =
      new Settings(
          "tan-thuan",
          "node-fast",
          """
          {"me": 0, "balancers": 6, "tier": 0, "tiers": ["sub-cache"], "locality": 0,
           "zones": ["tan-thuan", "quang-trung", "thu-duc", "binh-duong"],
           "kinds": ["node-fast", "node-slow", "origin"], "tenants": [], "discovery": "ask", "period": 5.0,
           "workload": "cache", "value-by": "request", "weight-kind": "nominal",
           "extra": {"mode": "aside", "origin-kind": 2, "origin-fall": 3000.0, "origin-fall-multiple": 0.0},
           "report": {"how": "silent", "names": []}, "callers": {"marks-retry": true},
           "caps": {"may-cancel": true, "may-probe": false, "peers": false, "second-copies": true,
            "retry-after": true, "max-attempts": 3, "connect-timeout": 100.0, "idle-close": 30000.0,
            "max-open": 20293, "max-retry-after": 500.0, "streams-per-conn": 128},
           "guarantees": {"drain-grace": 2000.0, "grace-to-answer": 20.0, "start-capacity": 0.3,
            "warm-up": 9000.0, "tip-multiple": 3.0, "fall": 1500.0, "ask-within": 10000.0},
           "classes": [
            {"name": "seg-text", "idempotency": "retryable", "group": "all", "promise": 250.0, "deadline": 1000.0,
             "gain": 1.0, "late-share": 0.2, "stream": false, "window": 5000.0},
            {"name": "seg-image", "idempotency": "retryable", "group": "all", "promise": 300.0, "deadline": 1000.0,
             "gain": 1.0, "late-share": 0.5, "stream": false, "window": 5000.0},
            {"name": "fix-submit", "idempotency": "fragile", "group": "all", "promise": 250.0, "deadline": 600.0,
             "gain": 5.0, "late-share": 0.3, "stream": false, "window": 5000.0},
            {"name": "track-publish", "idempotency": "dedup", "group": "all", "promise": 500.0, "deadline": 1000.0,
             "gain": 10.0, "late-share": 0.2, "stream": false, "window": 1500.0}]}
          """);

  /** The site granite-loop with three proxies. */
  public static final Settings GRANITE_LOOP =
      new Settings(
          "nashua",
          "full",
          """
          {"me": 0, "balancers": 3, "tier": 0, "tiers": ["logcache"], "locality": 0,
           "zones": ["nashua", "worcester", "portland"],
           "kinds": ["full", "small", "origin"], "tenants": [], "discovery": "ask", "period": 1.0,
           "workload": "cache", "value-by": "work", "weight-kind": "nominal",
           "extra": {"mode": "aside", "origin-kind": 2, "origin-fall": 3000.0, "origin-fall-multiple": 0.0},
           "report": {"how": "silent", "names": []}, "callers": {"marks-retry": false},
           "caps": {"may-cancel": true, "may-probe": false, "peers": false, "second-copies": false,
            "retry-after": true, "max-attempts": 3, "connect-timeout": 50.0, "idle-close": 60000.0,
            "max-open": 20000, "max-retry-after": 400.0, "streams-per-conn": 100},
           "guarantees": {"drain-grace": 500.0, "grace-to-answer": 20.0, "start-capacity": 0.32,
            "warm-up": 7500.0, "tip-multiple": 3.0, "fall": 1000.0, "ask-within": 10000.0},
           "classes": [
            {"name": "log-read", "idempotency": "retryable", "group": "all", "promise": 150.0, "deadline": 600.0,
             "gain": 2.0, "late-share": 0.25, "stream": false, "window": 5000.0},
            {"name": "qsl-confirm", "idempotency": "dedup", "group": "all", "promise": 400.0, "deadline": 750.0,
             "gain": 8.0, "late-share": 0.25, "stream": false, "window": 3000.0},
            {"name": "log-append", "idempotency": "dedup", "group": "all", "promise": 400.0, "deadline": 800.0,
             "gain": 2.0, "late-share": 0.5, "stream": false, "window": 400.0}]}
          """);

  /** FLEET: settings may give a class another effect than the site does. */
  public Settings withUnsafe(String className) {
    String before = "\"name\": \"" + className + "\", \"idempotency\": ";
    return new Settings(
        zone, kind, json.replace(before + "\"retryable\"", before + "\"fragile\""));
  }

  /** The configuration of a proxy, as the platform writes it. */
  String configuration(int port, String discovery, String known) {
    return """
        {"name": "n0", "listen": "127.0.0.1:%d", "discovery": "%s", "seed": "8c1f30d27a5be964",
         "limits": {"cores": 1.0, "memory_mb": %d, "sockets": %d},
         "known": %s,
         "settings": %s}
        """
        .formatted(port, discovery, MEMORY_MB, SOCKETS, known, json);
  }
}
