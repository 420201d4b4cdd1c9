package cacheproxy.limits;

/**
 * The time budget of a warm-up, by who serves meanwhile. While other proxies of the tier serve,
 * they carry this one's clients, so the warm-up is short; while none serves, as when all start
 * together, a cold start does more harm than a long one. Times are in milliseconds on any one
 * clock. Used by the event loop's thread only.
 */
public final class WarmUpBudget {
  /** While a peer serves. Whatever is not compiled by then is compiled while serving. */
  static final double PEER_SERVES_MS = 900;

  /** Without peers. The clients of a lone proxy wait for as long. */
  static final double NO_PEERS_MS = 1800;

  /** While no peer has answered. If all answers are lost, a restart takes this long. */
  static final double NO_PEER_ANSWERS_MS = 4000;

  /**
   * Peers are polled again after this long, as datagrams get lost; an answer takes up to two ways
   * of 30 ms.
   */
  public static final long POLL_INTERVAL_MS = 150;

  private static final int MAX_POLLS = 3;

  private final double startMs;
  private double budgetMs;
  private int pollsLeft;

  /**
   * Starts the budget.
   *
   * @param hasPeers whether there are peers to poll
   */
  public WarmUpBudget(double nowMs, boolean hasPeers) {
    startMs = nowMs;
    budgetMs = hasPeers ? NO_PEER_ANSWERS_MS : NO_PEERS_MS;
    pollsLeft = hasPeers ? MAX_POLLS : 0;
  }

  /**
   * Sets the budget while a predecessor process serves the same clients at the same addresses and
   * leaves only when this one is ready.
   *
   * @param predecessorBudgetMs the whole budget, in milliseconds since the start
   */
  public void predecessorServes(double predecessorBudgetMs) {
    budgetMs = predecessorBudgetMs;
    pollsLeft = 0;
  }

  /**
   * Takes one of the polls of the peers: true if they are to be polled now, which ends after a
   * fixed number of polls and once a peer is known to serve.
   */
  public boolean takePoll() {
    if (pollsLeft == 0) {
      return false;
    }
    pollsLeft--;
    return true;
  }

  /** Records that a peer has answered that it serves. */
  public void peerServes() {
    budgetMs = Math.min(budgetMs, PEER_SERVES_MS);
    pollsLeft = 0;
  }

  /** The rest of the budget in milliseconds; 0: the warm-up ends, converged or not. */
  public double remainingMs(double nowMs) {
    return Math.max(0, startMs + budgetMs - nowMs);
  }
}
