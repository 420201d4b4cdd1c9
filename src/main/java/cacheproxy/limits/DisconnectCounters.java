package cacheproxy.limits;

/**
 * Counts disconnected or delayed peers by reason since the start. Used by the event loop's thread
 * only.
 */
public final class DisconnectCounters {
  private static final DisconnectReason[] REASONS = DisconnectReason.values();

  // Indexed by the ordinal: requests count here as well, and an EnumMap would box each count.
  private final long[] counts = new long[REASONS.length];
  private final long[] reportedCounts = new long[REASONS.length];

  /** Counts one more for this reason. */
  public void increment(DisconnectReason reason) {
    counts[reason.ordinal()]++;
  }

  /** How many were counted for this reason since the start. */
  public long count(DisconnectReason reason) {
    return counts[reason.ordinal()];
  }

  /**
   * Reports what was counted since the last call, as {@code idle 3, silent 12}; an empty string if
   * nothing was.
   */
  public String reportNew() {
    StringBuilder report = new StringBuilder();
    for (DisconnectReason reason : REASONS) {
      int i = reason.ordinal();
      long added = counts[i] - reportedCounts[i];
      reportedCounts[i] = counts[i];
      if (added > 0) {
        report.append(report.length() == 0 ? "" : ", ");
        report.append(reason.logName()).append(' ').append(added);
      }
    }
    return report.toString();
  }
}
