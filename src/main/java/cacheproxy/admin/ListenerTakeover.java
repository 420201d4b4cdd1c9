package cacheproxy.admin;

/**
 * Rules for an upgrade during which the old and the new process (the successor) of one proxy listen
 * at the same addresses: how many descriptors each process reserves for the other, and how the old
 * process shuts down. The kernel distributes new connections over both listeners. Pure functions,
 * callable from any thread.
 */
public final class ListenerTakeover {
  /**
   * The longest warm-up of a new process while the old one still serves clients, in milliseconds.
   * The old process receives SIGTERM 6 s after the start of the new one, whose JVM takes 1 to 3 s
   * of that to start.
   */
  public static final double MAX_WARM_UP_MS = 3200;

  /**
   * A process accepts connections for this long after SIGTERM if its successor already serves or
   * there is none. Includes a margin for a slow machine.
   */
  private static final double LISTEN_MS = 500;

  /**
   * While its successor is starting, a process accepts connections for at most this long after
   * SIGTERM. The time is bounded because the process is killed after the longest deadline of its
   * requests.
   */
  private static final double MAX_LISTEN_FOR_SUCCESSOR_MS = 1200;

  /**
   * If there is a successor, the closing of client connections is spread over this time. Otherwise
   * all clients would reconnect at once to the successor, whose JVM is not warmed up yet. A
   * connection is closed after the response to its next request, because a request sent while its
   * connection is being closed would have to be retried.
   */
  private static final double DRAIN_SPREAD_MS = 1000;

  /** If there is a successor, connections that are still idle after this time are closed too. */
  private static final double IDLE_GRACE_MS = 1200;

  /**
   * Added to the longest request deadline to get the time by which all requests must be answered.
   * The process is killed 700 ms after that deadline; 100 ms of it are kept as a margin.
   */
  private static final double ANSWER_MARGIN_MS = 700 - 100;

  /**
   * The longest request deadline that delays the kill. Requests with longer deadlines do not delay
   * it further.
   */
  private static final double DEADLINE_CAP_MS = 3000;

  /**
   * Descriptors that the two processes together need for the JVM, listeners, discovery, peers and
   * operators' calls.
   */
  private static final int PROCESS_DESCRIPTORS = 64;

  /**
   * Descriptors kept in reserve for connections that the processes open before they read each
   * other's next status. Without this reserve, both together could exceed the limit. {@link
   * #MIN_OWN_SHARE_DIVISOR} also bounds a burst of clients at both processes in that time.
   */
  private static final int STATUS_LAG_DESCRIPTORS = 48;

  /**
   * A process never reserves all of its client slots for the other one: it keeps at least {@code
   * clientSlots} divided by this number.
   */
  private static final int MIN_OWN_SHARE_DIVISOR = 4;

  private ListenerTakeover() {}

  /**
   * Returns how many client slots this process reserves for the other one, from the connections
   * that both have open. With a fixed half for each, one process would reject new clients while the
   * other has free slots.
   *
   * @param maxDescriptors the most descriptors that both processes together may have open
   * @param clientSlots the most client connections of a process that runs alone
   * @param serverConnections this process's open connections to cache nodes and the origin
   * @param other the status of the other process
   * @return 0 to three quarters of {@code clientSlots}; 0 if there is no other process
   */
  public static int reservedClientSlots(
      int maxDescriptors, int clientSlots, int serverConnections, ProcessStatus other) {
    if (other.isAbsent()) {
      return 0;
    }
    int available =
        maxDescriptors
            - PROCESS_DESCRIPTORS
            - STATUS_LAG_DESCRIPTORS
            - serverConnections
            - other.clientConnections()
            - other.serverConnections();
    int mostReserved = clientSlots - clientSlots / MIN_OWN_SHARE_DIVISOR;
    return Math.max(0, Math.min(clientSlots - available, mostReserved));
  }

  /**
   * Returns how many of {@code maxConnections} connections to cache nodes and the origin this
   * process reserves for the other one: as many as the other one has open, but at most half.
   */
  public static int reservedServerConnections(int maxConnections, ProcessStatus other) {
    return Math.min(maxConnections / 2, other.serverConnections());
  }

  /**
   * Returns whether a process still accepts connections this long after it has received SIGTERM.
   */
  public static boolean acceptsConnections(double sinceTerminationMs, ProcessStatus other) {
    boolean waitsForSuccessor = !other.isAbsent() && !other.serving();
    return sinceTerminationMs < (waitsForSuccessor ? MAX_LISTEN_FOR_SUCCESSOR_MS : LISTEN_MS);
  }

  /**
   * Returns the time over which the closing of client connections is spread, in milliseconds. It
   * begins when the successor serves or when this process has stopped accepting connections.
   */
  public static double drainSpreadMs(ProcessStatus other) {
    return other.serving() ? DRAIN_SPREAD_MS : 0;
  }

  /**
   * Returns how long after SIGTERM every request must have been answered, in milliseconds.
   *
   * @param longestDeadlineMs the longest request deadline of any service class
   */
  public static double answerWithinMs(double longestDeadlineMs) {
    return cappedDeadlineMs(longestDeadlineMs) + ANSWER_MARGIN_MS;
  }

  /** Returns the longest deadline, capped at the most that delays the kill, in milliseconds. */
  public static double cappedDeadlineMs(double longestDeadlineMs) {
    return Math.min(longestDeadlineMs, DEADLINE_CAP_MS);
  }

  /**
   * Returns the time after which idle client connections are closed, in milliseconds. It begins
   * together with that of {@link #drainSpreadMs}.
   */
  public static double idleGraceMs(ProcessStatus other) {
    return other.serving() ? IDLE_GRACE_MS : 0;
  }
}
