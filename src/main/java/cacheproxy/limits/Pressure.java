package cacheproxy.limits;

/**
 * How short the room is, in three levels with a gap between going up and coming down, so that a
 * figure that hovers at a threshold does not move the level with it.
 */
public final class Pressure {
  /** What is held back from slow peers at each level. */
  public enum Level {
    CALM(1, 16),
    TIGHT(0.5, 4),
    SHORT(0.25, 2);

    private final double patience;
    private final int unproven;

    Level(double patience, int unproven) {
      this.patience = patience;
      this.unproven = unproven;
    }

    /**
     * Commands in hand of a client that has taken no answer yet: what is fetched for one that takes
     * none holds memory until it is cut off, and load for which nobody has any use.
     */
    public int unproven() {
      return unproven;
    }

    /** The part of its grace that a slow peer is given. */
    public double patience() {
      return patience;
    }
  }

  /** Up to the level from this share of the room, and down from it below the other. */
  private static final double TIGHT_FROM = 0.70;

  private static final double TIGHT_BELOW = 0.55;
  private static final double SHORT_FROM = 0.90;
  private static final double SHORT_BELOW = 0.75;

  private Level level = Level.CALM;
  private long changes;

  /** The level now that the fullest of the resources is taken to this share, from 0. */
  public Level at(double share) {
    Level next =
        switch (level) {
          case CALM ->
              share >= SHORT_FROM ? Level.SHORT : share >= TIGHT_FROM ? Level.TIGHT : Level.CALM;
          case TIGHT ->
              share >= SHORT_FROM ? Level.SHORT : share < TIGHT_BELOW ? Level.CALM : Level.TIGHT;
          case SHORT ->
              share < TIGHT_BELOW ? Level.CALM : share < SHORT_BELOW ? Level.TIGHT : Level.SHORT;
        };
    if (next != level) {
      level = next;
      changes++;
    }
    return level;
  }

  public Level level() {
    return level;
  }

  /** How often the level has changed. */
  public long changes() {
    return changes;
  }
}
