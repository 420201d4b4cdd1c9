package cacheproxy.load;

/**
 * How long a client waits and when it comes again: the rules of a client that is neither kind nor
 * hostile. Times in milliseconds.
 *
 * @param retries at most, after the first try
 * @param tryPart of a class's whole patience that one try is given, from 0 (exclusive) to 1
 * @param backoffMs waited before a retry where no advice is followed, doubled with each
 * @param honours the part of clients that follow a refusal's advice, from 0 to 1
 * @param longer factor on every class's patience
 */
public record ClientTimeouts(
    int retries, double tryPart, double backoffMs, double honours, double longer) {
  /** As the site's clients are: twice at most, 0.65 of the time each, a wait of 25 ms. */
  public static final ClientTimeouts USUAL = new ClientTimeouts(2, 0.65, 25, 0.65, 1);

  /** No retry is to follow. */
  public static final double NEVER = -1;

  /** How a try ended. */
  public enum End {
    /** Served with its value or receipt. */
    SERVED,
    /** Turned away: it never ran. */
    REFUSED,
    /** The connection never came up: it never ran. */
    UNCONNECTED,
    /** Any other answer. */
    FAILED,
    /** The connection ended before a whole answer, or none came in time. */
    LOST
  }

  /** How long the request is waited for in all, from when it was due. */
  public double wholeMs(Kind kind) {
    return kind.patienceMs() * longer;
  }

  /**
   * How long a try is waited for that begins so long after its request was due; 0 or less: there is
   * no time left.
   */
  public double tryMs(Kind kind, double sinceDueMs) {
    return Math.min(wholeMs(kind) * tryPart, wholeMs(kind) - sinceDueMs);
  }

  /**
   * After how long to try again, or {@link #NEVER}.
   *
   * @param tries made so far
   * @param sinceDueMs how long ago the request was due
   * @param adviceMs of the refusal; 0: none
   * @param lot from 0 to 1, the client's own: who follows advice does so each time
   */
  public double againMs(
      Kind kind, End end, int tries, double sinceDueMs, double adviceMs, double lot) {
    boolean neverRan = end == End.REFUSED || end == End.UNCONNECTED;
    if (end == End.SERVED || tries > retries || !neverRan && !kind.safe() && !kind.keyed()) {
      return NEVER;
    }
    double wait = backoffMs * (1 << Math.min(tries - 1, 10)) * (0.5 + lot);
    if (adviceMs > 0 && lot < honours) {
      wait = adviceMs;
    }
    return sinceDueMs + wait < wholeMs(kind) ? wait : NEVER;
  }
}
