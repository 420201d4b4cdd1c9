package cacheproxy.limits;

/**
 * Counts by {@link DisconnectReason} how often a peer was disconnected, delayed or denied memory
 * since the proxy started. Not thread-safe: used only on the event loop thread.
 */
public final class DisconnectCounters {
  private static final DisconnectReason[] REASONS = DisconnectReason.values();

  // Indexed by the ordinal of the reason. An EnumMap would box a number for each count, and some
  // reasons are counted per request.
  private final long[] counts = new long[REASONS.length];
  private final long[] reportedCounts = new long[REASONS.length];

  /** Counts one disconnection, delay or denial for this reason. */
  public void increment(DisconnectReason reason) {
    counts[reason.ordinal()]++;
  }

  /** Returns how often the reason was counted since the proxy started. */
  public long count(DisconnectReason reason) {
    return counts[reason.ordinal()];
  }

  /**
   * Returns the counts since the previous call, for example {@code idle 3, silent 12}, or an empty
   * string if nothing was counted.
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
