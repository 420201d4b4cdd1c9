package cacheproxy.shared;

/**
 * What one proxy has seen of one cache node, as it is told on. Times in milliseconds of the clock
 * of whoever holds it: what travels is an age, and the holder dates it at the latest moment that it
 * can be from.
 *
 * @param node as the module numbers servers
 * @param kind what was seen
 * @param witness the proxy whose own attempt it was
 * @param zone the witness's
 * @param serial counts the witness's evidence, on a circle: it tells a later one of the same kind
 *     from the same one again
 * @param atMs when it was so
 * @param untilMs from then on it says nothing any more
 */
public record VerdictEvidence(
    int node, Kind kind, int witness, int zone, int serial, double atMs, double untilMs) {
  /** Out of reach; answered after it was; has no place for one more connection. */
  public enum Kind {
    OUT,
    BACK,
    FULL
  }

  /** One bit pattern for a digest: the same at all who hold it. */
  int mark() {
    int h = node * 0x9E3779B9 ^ (witness << 18 | kind.ordinal() << 16 | serial);
    h = (h ^ h >>> 16) * 0x85EBCA6B;
    return h ^ h >>> 13;
  }

  boolean sameMatter(VerdictEvidence other) {
    return node == other.node && kind == other.kind && witness == other.witness;
  }
}
