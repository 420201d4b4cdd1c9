package cacheproxy.site;

/**
 * A breach of one of the four rules that the ledger checks.
 *
 * <ol>
 *   <li>A client gets one final answer in time, and no copy of its request reaches a server after
 *       that answer.
 *   <li>A request that is not idempotent takes effect at most once, and not at all if it was
 *       refused.
 *   <li>A server that is draining or removed receives no new requests.
 *   <li>A server in its warm-up is not overloaded.
 * </ol>
 *
 * @param rule number of the rule in this list
 * @param atMs time of the breach on the ledger's clock
 * @param evidence one line with the events that show the breach
 */
public record Breach(int rule, double atMs, String evidence) {
  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT, "rule %d at %.3f s: %s", rule, atMs / 1000, evidence);
  }
}
