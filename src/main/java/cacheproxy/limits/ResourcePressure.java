package cacheproxy.limits;

/**
 * Derives a pressure level from the utilization of the proxy's resources. The levels have
 * hysteresis: the threshold for entering a level is higher than the one for leaving it, so that a
 * utilization that varies around a threshold does not change the level each time. Not thread-safe:
 * used only on the event loop thread.
 */
public final class ResourcePressure {
  /**
   * The pressure levels. A higher level grants less grace to clients that are silent or slow within
   * a command, and allows fewer pipelined requests to clients that have unread responses or have
   * not read any yet. It does not shorten the grace of clients that read a response.
   */
  public enum Level {
    /** Silent and slow clients get their full grace. */
    NORMAL("CALM", 1, 16),
    /** Silent clients and slow writers get half of their grace. */
    ELEVATED("TIGHT", 0.5, 4),
    /** Silent clients and slow writers get a quarter of their grace. */
    CRITICAL("SHORT", 0.25, 2);

    private final String logName;
    private final double graceFactor;
    private final int maxUnreadPipelined;

    Level(String logName, double graceFactor, int maxUnreadPipelined) {
      this.logName = logName;
      this.graceFactor = graceFactor;
      this.maxUnreadPipelined = maxUnreadPipelined;
    }

    /**
     * The name in the log line {@code cut off:}. It must not change because docs/limits.md
     * documents it.
     */
    public String logName() {
      return logName;
    }

    /**
     * Returns how many pipelined requests are accepted from a client that has unread responses or
     * has not read any yet. The responses for a client that never reads occupy memory until it is
     * disconnected, and fetching them loads the upstream servers for nothing.
     */
    public int maxUnreadPipelined() {
      return maxUnreadPipelined;
    }

    /** Returns the fraction of its grace that a silent client or slow writer gets, from 0 to 1. */
    public double graceFactor() {
      return graceFactor;
    }
  }

  private static final double ELEVATED_FROM = 0.70;
  private static final double ELEVATED_UNTIL_BELOW = 0.55;
  private static final double CRITICAL_FROM = 0.90;
  private static final double CRITICAL_UNTIL_BELOW = 0.75;

  private Level level = Level.NORMAL;
  private long changes;

  /**
   * Updates the level from the utilization of the most used resource, where 1 is full, and returns
   * the new level.
   */
  public Level update(double utilization) {
    Level next =
        switch (level) {
          case NORMAL -> rising(utilization);
          case ELEVATED ->
              utilization < ELEVATED_UNTIL_BELOW ? Level.NORMAL : atLeastElevated(utilization);
          case CRITICAL -> falling(utilization);
        };
    if (next != level) {
      level = next;
      changes++;
    }
    return level;
  }

  private static Level rising(double utilization) {
    return utilization >= ELEVATED_FROM ? atLeastElevated(utilization) : Level.NORMAL;
  }

  private static Level atLeastElevated(double utilization) {
    return utilization >= CRITICAL_FROM ? Level.CRITICAL : Level.ELEVATED;
  }

  private static Level falling(double utilization) {
    if (utilization < ELEVATED_UNTIL_BELOW) {
      return Level.NORMAL;
    }
    return utilization < CRITICAL_UNTIL_BELOW ? Level.ELEVATED : Level.CRITICAL;
  }

  /** Returns the level after the last {@link #update}. */
  public Level level() {
    return level;
  }

  /** Returns how often the level has changed since the start. */
  public long changes() {
    return changes;
  }
}
