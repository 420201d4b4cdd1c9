package cacheproxy.admin;

/**
 * Two processes of one proxy at the same addresses, an old and a new version: who holds how much
 * while both run, and how the old one leaves. Together they may hold what one may; new connections
 * come to either as the kernel deals them.
 */
public final class ListenerTakeover {
  /**
   * How long a new one may warm up beside the old, in milliseconds. It has 6 s until the old one is
   * told to end, and the JVM takes one to three of them; nobody is kept waiting meanwhile, as the
   * old one serves.
   */
  public static final double WARM_MS = 3200;

  /**
   * Connections go on coming for so long after a planned end where nobody takes over, with room for
   * a slow machine.
   */
  private static final double LISTEN_ON_MS = 500;

  /**
   * Where another process is there and does not serve yet, the old one listens for it for so long
   * at most: it is told to end by the clock, and is killed when its own requests must be over.
   */
  private static final double WAIT_MS = 1200;

  /**
   * With a successor, connections leave over this time, each behind the answer to its next request:
   * a client whose request crosses the end of its connection has to send it again. Guards the
   * successor against all clients at once, when its code has served few of them yet.
   */
  private static final double LEAVE_MS = 1000;

  /** After that, those that stand idle. */
  private static final double IDLE_MS = 1200;

  /**
   * One that is told to end is killed so long after its longest request must be over (PROTOCOL),
   * less some room.
   */
  private static final double KILLED_MS = 700 - 100;

  /** Longer deadlines do not count for that. */
  private static final double LONGEST_MS = 3000;

  /**
   * Descriptors that both processes need for themselves: JVM, listeners, discovery, peers,
   * operators' calls.
   */
  private static final int OWN = 64;

  /**
   * Room for what both open before they next hear of each other. Guards the bound on what they hold
   * together; a crowd that comes to both in that time is bounded by {@link #LEAST} as well.
   */
  private static final int MARGIN = 48;

  /** Whatever the other holds, this part of the places is this one's. */
  private static final int LEAST = 4;

  private ListenerTakeover() {}

  /** Descriptors that a process holds, and whether it takes clients' requests. */
  public record Holds(int clients, int servers, boolean serves) {
    public static final Holds NOTHING = new Holds(0, 0, false);
  }

  /**
   * How many places for clients this one leaves free for the other. By what both hold and not by
   * halves, as clients that have just connected would be shown out of one half while the other
   * stands empty.
   *
   * @param sockets descriptors that both together may hold
   * @param places clients that there is room for where one runs alone
   * @param servers connections to servers that this one holds
   */
  public static int clientsLeft(int sockets, int places, int servers, Holds other) {
    if (other.equals(Holds.NOTHING)) {
      return 0;
    }
    int room = sockets - OWN - MARGIN - servers - other.clients() - other.servers();
    return Math.max(0, Math.min(places - room, places - places / LEAST));
  }

  /** How many of so many connections to servers this one leaves to the other. */
  public static int serversLeft(int most, Holds other) {
    return Math.min(most / 2, other.servers());
  }

  /** Whether one that was told to end so long ago still takes connections. */
  public static boolean listens(double toldMs, Holds other) {
    return toldMs < (other.serves() || other.equals(Holds.NOTHING) ? LISTEN_ON_MS : WAIT_MS);
  }

  /**
   * Over how long clients leave, from when the successor serves or from when it has stopped
   * listening.
   */
  public static double leaveMs(Holds other) {
    return other.serves() ? LEAVE_MS : 0;
  }

  /**
   * How long after it was told to end all that it has taken must be answered, where the longest
   * deadline is this.
   */
  public static double answeredMs(double deadlineMs) {
    return countedMs(deadlineMs) + KILLED_MS;
  }

  /** What of the longest deadline counts for when it is killed. */
  public static double countedMs(double deadlineMs) {
    return Math.min(deadlineMs, LONGEST_MS);
  }

  /** How long after that it ends the connections that stand idle. */
  public static double idleMs(Holds other) {
    return other.serves() ? IDLE_MS : 0;
  }
}
