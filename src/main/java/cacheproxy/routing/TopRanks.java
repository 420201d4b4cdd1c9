package cacheproxy.routing;

/**
 * The nodes with the highest scores among those offered, in descending order. One table is reused
 * for all requests.
 */
final class TopRanks {
  private Node[] nodes = new Node[0];
  private double[] scores = new double[0];
  private int limit;
  private int count;

  /** Removes all nodes and sets the maximum number of nodes to keep. */
  void clear(int newLimit) {
    if (nodes.length < newLimit) {
      nodes = new Node[newLimit];
      scores = new double[newLimit];
    }
    limit = newLimit;
    count = 0;
  }

  /**
   * Adds a node if its score ranks high enough. Of nodes with equal scores, the one offered first
   * ranks higher.
   */
  void offer(Node node, double score) {
    if (count == limit && score <= scores[limit - 1]) {
      return;
    }
    int rank = count < limit ? count++ : limit - 1;
    for (; rank > 0 && scores[rank - 1] < score; rank--) {
      nodes[rank] = nodes[rank - 1];
      scores[rank] = scores[rank - 1];
    }
    nodes[rank] = node;
    scores[rank] = score;
  }

  int count() {
    return count;
  }

  Node get(int rank) {
    return nodes[rank];
  }
}
