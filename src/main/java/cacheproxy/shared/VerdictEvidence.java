package cacheproxy.shared;

import java.util.Optional;

/**
 * An observation of one cache node by one proxy, as it is gossiped. Times are milliseconds of the
 * clock of the proxy that holds the evidence. Messages carry ages instead; the receiver subtracts
 * the age from the time of receipt, which gives the latest possible time of the observation.
 *
 * @param node the node's number, as in the routing module
 * @param kind the result of the attempt
 * @param observer the proxy that made the attempt
 * @param zone the observer's zone, 0 to 63
 * @param sequence number of the observer's evidence, modulo 65,536; distinguishes a repeated
 *     message from a later observation of the same kind
 * @param observedMs when the observation was made
 * @param expiresMs when the evidence ceases to be valid
 */
public record VerdictEvidence(
    int node,
    Kind kind,
    int observer,
    int zone,
    int sequence,
    double observedMs,
    double expiresMs) {
  /** The result of an attempt to use a node. */
  public enum Kind {
    /** The attempt found the node unreachable. */
    UNREACHABLE(0, "out"),
    /** The node answered although evidence called it unreachable. */
    RECOVERED(1, "back"),
    /** The node refused a further connection. */
    NO_CONNECTION_SLOT(2, "full");

    private final int wireCode;
    private final String jsonName;

    Kind(int wireCode, String jsonName) {
      this.wireCode = wireCode;
      this.jsonName = jsonName;
    }

    /** The two-bit code of this kind in a datagram. */
    int wireCode() {
      return wireCode;
    }

    /** The name of this kind in the response to {@code GET /ops/shared}. */
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

  /** A hash that identifies this piece of evidence, equal at all proxies that hold it. */
  int fingerprint() {
    int hash = node * 0x9E3779B9 ^ (observer << 18 | kind.wireCode() << 16 | sequence);
    hash = (hash ^ hash >>> 16) * 0x85EBCA6B;
    return hash ^ hash >>> 13;
  }

  /** Whether both have the same node, kind and observer, so that the newer replaces the older. */
  boolean sameSubject(VerdictEvidence other) {
    return node == other.node && kind == other.kind && observer == other.observer;
  }
}
