package cacheproxy.routing;

/**
 * Recent answers of one zone, and evidence that it doesn't answer, as observed by this instance.
 */
final class ZoneObservations {
  /** Stands for several nodes, or for a report by another instance that names no node. */
  static final int SEVERAL_NODES = -1;

  /** Total weight of the evidence since the last answer. */
  int evidenceWeight;

  /** Id of the node that all evidence concerns, or {@link #SEVERAL_NODES}. */
  int suspectedNode;

  double firstEvidenceMs;
  double lastAnswerMs = Double.NEGATIVE_INFINITY;

  /** Consecutive ejections of the zone without an answer since. */
  int consecutiveEjections;

  double ejectedUntilMs;
  private double lastEvidenceMs;

  /**
   * Adds evidence that the zone doesn't answer. Earlier evidence is discarded if the latest is
   * older than {@code validMs}.
   */
  void addEvidence(double now, int node, int addedWeight, double validMs) {
    if (evidenceWeight == 0 || now - lastEvidenceMs > validMs) {
      evidenceWeight = 0;
      firstEvidenceMs = now;
      suspectedNode = node;
    }
    suspectedNode = suspectedNode == node ? node : SEVERAL_NODES;
    evidenceWeight += addedWeight;
    lastEvidenceMs = now;
  }

  void onAnswer(double now) {
    evidenceWeight = 0;
    consecutiveEjections = 0;
    ejectedUntilMs = 0;
    lastAnswerMs = now;
  }
}
