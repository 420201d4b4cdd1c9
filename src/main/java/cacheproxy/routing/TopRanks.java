package cacheproxy.routing;

/** The nodes with the highest scores of those offered, best first; reused for each request. */
final class TopRanks {
  private Node[] nodes = new Node[0];
  private double[] scores = new double[0];
  private int limit;
  private int count;

  /** Empties the table; from now on it keeps at most {@code newLimit} nodes. */
  void clear(int newLimit) {
    if (nodes.length < newLimit) {
      nodes = new Node[newLimit];
      scores = new double[newLimit];
    }
    limit = newLimit;
    count = 0;
  }

  /** Of equal scores the first offered is the better. */
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
