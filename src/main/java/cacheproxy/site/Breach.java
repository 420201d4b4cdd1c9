package cacheproxy.site;

/**
 * One breach of a rule.
 *
 * @param rule from 1 to 4, as in PROTOCOL and the README
 * @param atMs when it happened, on the ledger's clock
 * @param evidence what the ledger holds of it, in one line
 */
public record Breach(int rule, double atMs, String evidence) {
  @Override
  public String toString() {
    return String.format(
        java.util.Locale.ROOT, "rule %d at %.3f s: %s", rule, atMs / 1000, evidence);
  }
}
