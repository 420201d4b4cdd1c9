package cacheproxy.admin;

/**
 * What one of the two processes that can run beside each other during an upgrade reports to the
 * other.
 *
 * @param clientConnections descriptors that it holds for clients; at least 1 while it runs
 * @param serverConnections descriptors that it holds for cache nodes and the origin
 * @param serving whether it accepts clients' requests
 */
public record ProcessStatus(int clientConnections, int serverConnections, boolean serving) {
  /** No other process runs. */
  public static final ProcessStatus ABSENT = new ProcessStatus(0, 0, false);

  /** A process that runs and has not reported yet, or whose report is not known. */
  public static final ProcessStatus STARTING = new ProcessStatus(1, 0, false);

  /** Whether there is no such process. */
  public boolean isAbsent() {
    return equals(ABSENT);
  }
}
