package cacheproxy.limits;

/**
 * The time budget for warming up a proxy before it accepts clients. If other proxies of the tier
 * are serving, they carry the load of this proxy meanwhile, so the budget is short. If no proxy
 * serves, for example because the tier restarts as one, the budget is long, because serving with
 * cold code does more harm than a later start. Times are in milliseconds and must all come from the
 * same clock. Not thread-safe: used only on the event loop thread.
 */
public final class WarmUpBudget {
  /**
   * The budget while another proxy of the tier serves. Code that the JIT compiler has not compiled
   * within it is compiled while the proxy serves.
   */
  static final double PEER_SERVES_MS = 900;

  /** The budget of a proxy without peers. Its clients have no other proxy and wait this long. */
  static final double NO_PEERS_MS = 1800;

  /**
   * The budget while no peer has answered a poll. A restart takes this long if all answers are
   * lost.
   */
  static final double NO_PEER_ANSWERS_MS = 4000;

  /**
   * The interval between polls of the peers. Polls are repeated because datagrams can get lost; the
   * round trip of an answer takes up to 60 ms.
   */
  public static final long POLL_INTERVAL_MS = 150;

  private static final int MAX_POLLS = 3;

  private final double startMs;
  private double budgetMs;
  private int pollsLeft;

  /**
   * Starts the budget at {@code nowMs}.
   *
   * @param hasPeers whether the proxy has peers that it can poll
   */
  public WarmUpBudget(double nowMs, boolean hasPeers) {
    startMs = nowMs;
    budgetMs = hasPeers ? NO_PEER_ANSWERS_MS : NO_PEERS_MS;
    pollsLeft = hasPeers ? MAX_POLLS : 0;
  }

  /**
   * Sets the budget for a takeover, in which a predecessor process serves the clients at the same
   * addresses until this process is ready. Peers are not polled any more.
   *
   * @param predecessorBudgetMs the total budget, in milliseconds since the start of the warm-up
   */
  public void predecessorServes(double predecessorBudgetMs) {
    budgetMs = predecessorBudgetMs;
    pollsLeft = 0;
  }

  /**
   * Returns whether the peers should be polled now, and counts that poll. Returns false after
   * {@link #MAX_POLLS} polls and once a peer is known to serve.
   */
  public boolean takePoll() {
    if (pollsLeft == 0) {
      return false;
    }
    pollsLeft--;
    return true;
  }

  /**
   * Records that a peer has reported that it serves, which shortens the budget and ends the polls.
   */
  public void peerServes() {
    budgetMs = Math.min(budgetMs, PEER_SERVES_MS);
    pollsLeft = 0;
  }

  /**
   * Returns the remaining budget in milliseconds. At 0 the warm-up ends even if it has not
   * converged.
   */
  public double remainingMs(double nowMs) {
    return Math.max(0, startMs + budgetMs - nowMs);
  }
}
