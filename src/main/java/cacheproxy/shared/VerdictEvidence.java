package cacheproxy.shared;

import java.util.Optional;

/**
 * What one proxy has observed of one cache node, as it is passed on. Times are milliseconds of the
 * holder's own clock: an age travels, and the receiver dates the evidence by the latest moment that
 * it can be from.
 *
 * @param node the node's number, as in the routing module
 * @param kind what was observed
 * @param observer the proxy whose own attempt it was
 * @param zone the observer's zone, 0 to 63
 * @param sequence counts the observer's evidence modulo 65,536; tells a repetition from a later
 *     observation of the same kind
 * @param observedMs when it was observed
 * @param expiresMs from when on it is no longer valid
 */
public record VerdictEvidence(
    int node,
    Kind kind,
    int observer,
    int zone,
    int sequence,
    double observedMs,
    double expiresMs) {
  /** What was observed of a node. */
  public enum Kind {
    /** An attempt found it unreachable. */
    UNREACHABLE(0, "out"),
    /** It answered after it had been unreachable. */
    RECOVERED(1, "back"),
    /** It refused one more connection. */
    NO_CONNECTION_SLOT(2, "full");

    private final int wireCode;
    private final String jsonName;

    Kind(int wireCode, String jsonName) {
      this.wireCode = wireCode;
      this.jsonName = jsonName;
    }

    /** Its two bits in a datagram. */
    int wireCode() {
      return wireCode;
    }

    /** Its name in {@code GET /ops/shared}. */
    public String jsonName() {
      return jsonName;
    }

    static Optional<Kind> ofWireCode(int code) {
      for (Kind kind : values()) {
        if (kind.wireCode == code) {
          return Optional.of(kind);
        }
      }
      return Optional.empty();
    }
  }

  /** Its contribution to a digest: the same at all proxies that hold it. */
  int fingerprint() {
    int hash = node * 0x9E3779B9 ^ (observer << 18 | kind.wireCode() << 16 | sequence);
    hash = (hash ^ hash >>> 16) * 0x85EBCA6B;
    return hash ^ hash >>> 13;
  }

  /** Whether one of the two replaces the other: the same observer on the same question. */
  boolean sameSubject(VerdictEvidence other) {
    return node == other.node && kind == other.kind && observer == other.observer;
  }
}
