package cacheproxy.limits;

/**
 * The level of pressure on the proxy's resources, with hysteresis: the threshold for a higher level
 * lies above the one for coming back, so that a utilization that varies around a threshold does not
 * change the level each time. Used by the event loop's thread only.
 */
public final class ResourcePressure {
  /** How strict the limits on slow and unproven clients are. */
  public enum Level {
    /** Full graces. */
    NORMAL("CALM", 1, 16),
    /** Half of the graces. */
    ELEVATED("TIGHT", 0.5, 4),
    /** A quarter of the graces. */
    CRITICAL("SHORT", 0.25, 2);

    private final String logName;
    private final double graceFactor;
    private final int maxUnprovenPipelined;

    Level(String logName, double graceFactor, int maxUnprovenPipelined) {
      this.logName = logName;
      this.graceFactor = graceFactor;
      this.maxUnprovenPipelined = maxUnprovenPipelined;
    }

    /** The name in the log line {@code cut off:}; documented in docs/limits.md and kept stable. */
    public String logName() {
      return logName;
    }

    /**
     * Pipelined requests of a client that has not read a response yet. What is fetched for a client
     * that reads nothing holds memory until it is disconnected, and is load without use.
     */
    public int maxUnprovenPipelined() {
      return maxUnprovenPipelined;
    }

    /** The part of its grace that a slow peer is granted, from 0 to 1. */
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

  /** Sets and returns the level for the utilization of the fullest resource, from 0. */
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

  /** The level as last updated. */
  public Level level() {
    return level;
  }

  /** How often the level has changed. */
  public long changes() {
    return changes;
  }
}
