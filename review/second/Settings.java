package reviewtwo;

/** The configuration of a proxy in a small deployment, as the platform writes it. */
final class Settings {
  private static final String TEMPLATE =
      """
      {"name": "n0", "listen": "%s", "discovery": "%s", "seed": "8c1f30d27a5be964",
       "limits": {"cores": 1.0, "memory_mb": %d, "sockets": 384},
       "known": %s,
       "settings": {
        "me": 0, "balancers": %d, "locality": 0, "zones": ["a"], "kinds": ["cache", "origin"],
        "discovery": "ask", "extra": {"mode": "aside", "origin-kind": 1}, "tenants": [],
        "report": {"how": "silent", "names": []}, "value-by": "request",
        "caps": {"may-cancel": true, "may-probe": false, "peers": false, "second-copies": true,
         "retry-after": true, "max-attempts": 3, "max-retry-after": 500, "idle-close": 30000,
         "streams-per-conn": 128, "connect-timeout": 100},
        "guarantees": {"drain-grace": 2000, "grace-to-answer": 20, "start-capacity": 0.3,
         "warm-up": 9000, "tip-multiple": 3, "fall": 1500, "ask-within": 10000},
        "classes": [
         {"name": "read", "idempotency": "retryable", "promise": 250, "deadline": 1000,
          "gain": 1, "late-share": 0.2, "stream": false},
         {"name": "write", "idempotency": "fragile", "promise": 250, "deadline": %d,
          "gain": 5, "late-share": 0.3, "stream": false}]}}
      """;

  String listen;
  String discovery;
  String known;
  int memoryMb = 128;
  int proxies = 2;
  int writeDeadlineMs = 600;

  String json() {
    return String.format(TEMPLATE, listen, discovery, memoryMb, known, proxies, writeDeadlineMs);
  }
}
