package standins;

/**
 * The settings of a proxy (WIRE, "What an instance is born with").
 *
 * @param zone the zone of all cache nodes
 * @param kind the kind of all cache nodes
 * @param sockets the limit on descriptors
 * @param json the settings, in the form of DEPLOY
 */
public record Settings(String zone, String kind, int sockets, String json) {
  private static final int MEMORY_MB = 128;

  /** The site hcm-render with six proxies. */
  public static final Settings HCM_RENDER =
      new Settings(
          "tan-thuan",
          "node-fast",
          1024,
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

  /** FLEET: settings may give a class another effect than the site does. */
  public Settings withUnsafe(String className) {
    String before = "\"name\": \"" + className + "\", \"idempotency\": ";
    String after = before + "\"fragile\"";
    return new Settings(zone, kind, sockets, json.replace(before + "\"retryable\"", after));
  }

  /** DAYS: a proxy has 256 to 1,024 descriptors. */
  public Settings withSockets(int newSockets) {
    return new Settings(zone, kind, newSockets, json);
  }

  /** The configuration of a proxy, as the platform writes it. */
  String configuration(int port, String discovery, String known) {
    return """
        {"name": "n0", "listen": "127.0.0.1:%d", "discovery": "%s", "seed": "8c1f30d27a5be964",
         "limits": {"cores": 1.0, "memory_mb": %d, "sockets": %d},
         "known": %s,
         "settings": %s}
        """
        .formatted(port, discovery, MEMORY_MB, sockets, known, json);
  }
}
