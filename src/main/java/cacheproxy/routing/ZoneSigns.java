package cacheproxy.routing;

/** What this instance has lately heard, or not heard, of a zone; decides nothing. */
final class ZoneSigns {
  /** Stands for more than one node, or for nodes that a peer has not named. */
  static final int SEVERAL_NODES = -1;

  /** The weight of the signs of silence since the last answer. */
  int weight;

  /** The one node that the signs are of, or {@link #SEVERAL_NODES}. */
  int silentNode;

  double firstMs;
  double lastAnswerMs = Double.NEGATIVE_INFINITY;

  /** Ejections of the zone in a row without an answer since. */
  int outages;

  double outUntilMs;
  private double lastMs;

  /** Adds a sign of silence; earlier ones are void if the last is older than {@code validMs}. */
  void add(double now, int node, int signWeight, double validMs) {
    if (weight == 0 || now - lastMs > validMs) {
      weight = 0;
      firstMs = now;
      silentNode = node;
    }
    silentNode = silentNode == node ? node : SEVERAL_NODES;
    weight += signWeight;
    lastMs = now;
  }

  void onAnswer(double now) {
    weight = 0;
    outages = 0;
    outUntilMs = 0;
    lastAnswerMs = now;
  }
}
