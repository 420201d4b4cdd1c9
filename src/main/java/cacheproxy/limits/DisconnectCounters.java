package cacheproxy.limits;

/**
 * Who was cut off and why, counted since the start; {@link #news} says what has come since it was
 * last asked.
 */
public final class DisconnectCounters {
  private final long[] counts = new long[DisconnectReason.values().length];
  private final long[] told = new long[counts.length];

  public void count(DisconnectReason why) {
    counts[why.ordinal()]++;
  }

  public long of(DisconnectReason why) {
    return counts[why.ordinal()];
  }

  /** What was counted since the last call, as {@code idle 3, silent 12}; empty: nothing. */
  public String news() {
    StringBuilder text = new StringBuilder();
    for (DisconnectReason c : DisconnectReason.values()) {
      long more = counts[c.ordinal()] - told[c.ordinal()];
      told[c.ordinal()] = counts[c.ordinal()];
      if (more > 0) {
        text.append(text.length() == 0 ? "" : ", ")
            .append(c.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' '))
            .append(' ')
            .append(more);
      }
    }
    return text.toString();
  }
}
