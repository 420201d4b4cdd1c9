package cacheproxy.shared;

import java.util.List;

/**
 * A snapshot of one proxy's shared state for operators and tests. Counters start at 0 with the
 * process.
 *
 * @param evidence all valid evidence on nodes, including the proxy's own
 * @param excludedNodes the number of nodes that gossip excludes
 * @param warmingNodes slow-start quota of nodes that are warming up
 * @param sinceResponseMs time since the last response of each proxy, by proxy number; infinite if
 *     there was none
 * @param answersPerSecond answers that the tier receives from warm nodes, by kind of node, as far
 *     as this proxy knows
 * @param distrustedProxies proxies whose evidence is currently not accepted
 * @param acceptedEvidence pieces of other proxies' evidence that were new and were stored
 * @param rejectedEvidence pieces of other proxies' evidence on listed nodes that were not
 *     acceptable: expired, implausibly dated, or from an unknown or distrusted proxy
 * @param pulls anti-entropy pulls sent or attempted
 * @param sentMessages datagrams sent
 * @param sentBytes total payload bytes of the sent datagrams
 * @param unsentMessages datagrams dropped because the byte budget was exhausted
 * @param spentRequests requests to warming-up nodes that the quota admitted
 * @param refusedRequests requests to warming-up nodes that the quota refused
 */
public record SharedStateView(
    List<VerdictEvidence> evidence,
    int excludedNodes,
    List<WarmingNode> warmingNodes,
    double[] sinceResponseMs,
    double[] answersPerSecond,
    List<Integer> distrustedProxies,
    long acceptedEvidence,
    long rejectedEvidence,
    long pulls,
    long sentMessages,
    long sentBytes,
    long unsentMessages,
    long spentRequests,
    long refusedRequests) {
  /**
   * This proxy's quota for one warming-up node. Shares are fractions of the tier's quota, 0 to 1.
   *
   * @param leaseHolder whether this proxy is one of the node's lease holders; if not, all shares
   *     are 0
   * @param spendableShare the share that this proxy may spend now, including the borrowed share
   * @param lentShare the share lent to other proxies
   * @param borrowedShare the share borrowed from other proxies
   */
  public record WarmingNode(
      int node,
      boolean leaseHolder,
      double spendableShare,
      double lentShare,
      double borrowedShare) {}
}
