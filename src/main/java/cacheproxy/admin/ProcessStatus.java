package cacheproxy.admin;

/**
 * Status that one of the two processes of a proxy that run concurrently during an upgrade reports
 * to the other.
 *
 * @param clientConnections open connections to clients; at least 1 while the process runs, so that
 *     the status differs from {@link #ABSENT}
 * @param serverConnections open connections to cache nodes and the origin
 * @param serving whether the process accepts clients' requests
 */
public record ProcessStatus(int clientConnections, int serverConnections, boolean serving) {
  /** Status in place of a process that does not run. */
  public static final ProcessStatus ABSENT = new ProcessStatus(0, 0, false);

  /**
   * Status of a process that runs but has not reported its status yet, or whose status is unknown.
   */
  public static final ProcessStatus STARTING = new ProcessStatus(1, 0, false);

  /** Returns whether this is {@link #ABSENT}, so that no other process runs. */
  public boolean isAbsent() {
    return equals(ABSENT);
  }
}
