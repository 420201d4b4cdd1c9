package cacheproxy.limits;

import java.util.Collection;

/**
 * Which connection is shown out, and when. Three parts share the places: those with a request open
 * keep theirs; those that stand idle after a request keep what newcomers don't need; those that
 * never asked come last.
 *
 * <p>How long an idle one may stay is nowhere stated, it follows (Little's law: in a steady state
 * the number that stand idle is the rate at which connections come, times how long each stays).
 * Newcomers that ask have a claim to the room that they take in {@link #HORIZON_MS} at the rate at
 * which they come now, up to half of the clients' room, and the idle may fill the rest: at a high
 * rate they stay for a fraction of a second, and where nobody comes anew, for as long as they like.
 * Clients that find no place don't show in that rate. It still rises from a full house: what is
 * cleared lets in more, which clears more, until all get in or half of the room is cleared.
 */
public final class ConnectionAdmissionPolicy {
  /**
   * Room is kept for what comes within so long. Guards newcomers against a house that is full of
   * connections that nobody uses; long enough for the loop to be busy elsewhere, and harmful where
   * many clients come anew at the same time only once: idle ones are then shown out that would have
   * been used again.
   */
  static final double HORIZON_MS = 1000;

  /**
   * One that has asked more than once has shown that it comes back: it counts as having stood idle
   * for a part of its time only. Guards clients that keep connections against those that ask once
   * and stay.
   */
  static final double RETURNING = 0.25;

  /**
   * One that has done nothing for less than so many times its usual gap, and less than {@link
   * #HORIZON_MS}, is between two requests and not idle: newcomers have no claim to its place.
   * Guards clients that ask all the time against a crowd, above all one that is cut off and comes
   * again; without a bound on the time, one that asks twice in an hour would never be idle.
   */
  static final double RHYTHM = 4;

  /**
   * Where places are short, one that is this far behind its least rate goes before one that is
   * between two requests. Guards those that use their places against those that hold them; long
   * enough for a fair line that sends in bursts, which is up to a tenth of a second behind before
   * each.
   */
  static final double BEHIND_MS = 500;

  /** A connection as these rules see it. */
  public interface Guest {
    /** It has a request open, or answers that it has not taken. */
    boolean busy();

    /** It never asked anything usable, is being turned away, or is on its way out. */
    boolean useless();

    /** Since when it has done nothing, in milliseconds. */
    double sinceMs();

    /** How many of its requests have been answered. */
    long answered();

    /**
     * The longest time that lately lay between two of its requests, in milliseconds; 0: it has
     * asked once.
     */
    double gapMs();

    /** How far it is behind in giving or taking what is owed, in milliseconds; 0: it keeps up. */
    double behindMs(double nowMs);
  }

  private final int places;
  private final int clientsRoom;
  private final int spare;
  private final boolean showOutIdle;
  private final Rate newcomers = new Rate(HORIZON_MS);

  /**
   * @param places connections that there is room for
   * @param clientsRoom how many of them are held by clients that ask (DAYS: a third of the
   *     descriptors)
   * @param spare places that are kept free for the next ones while anybody can be shown out
   * @param showOutIdle whether idle ones make way for newcomers before places are short
   */
  public ConnectionAdmissionPolicy(int places, int clientsRoom, int spare, boolean showOutIdle) {
    if (places < 1 || spare < 0 || spare >= places) {
      throw new IllegalArgumentException(places + " places, " + spare + " of them spare");
    }
    this.places = places;
    this.clientsRoom = Math.max(1, Math.min(clientsRoom, places - spare));
    this.spare = spare;
    this.showOutIdle = showOutIdle;
  }

  public int places() {
    return places;
  }

  /** A connection has asked for the first time. */
  public void newcomer(double nowMs) {
    newcomers.add(nowMs, 1);
  }

  /** Places of the clients' room that newcomers have a claim to. */
  public int claimed(double nowMs) {
    return (int)
        Math.min(clientsRoom / 2.0, Math.ceil(newcomers.perSecond(nowMs) * HORIZON_MS / 1000));
  }

  /**
   * How many may stand idle while so many others have a request open: a quarter of the clients'
   * room at least, as a crowd with requests open that it doesn't take the answers of must not cost
   * all others their connections.
   */
  public int idleAllowed(double nowMs, int busy) {
    return Math.max(clientsRoom / 4, clientsRoom - busy - claimed(nowMs));
  }

  /** Whether so few places are free that somebody has to go for the next ones to come. */
  public boolean isShort(int guests, int taken) {
    return places - guests - taken < spare;
  }

  /**
   * The next to be shown out; null: nobody has to go, or nobody may. Where places are short: who
   * never asked, then who stands idle, then who is behind with a request open, and who is between
   * two requests last.
   *
   * @param taken connections that are on their way in and not among the guests yet
   */
  public <G extends Guest> G next(double nowMs, Collection<G> guests, int taken) {
    boolean isShort = isShort(guests.size(), taken);
    // Busy and idle ones together are within the room then, and so the idle within what is left of
    // it.
    if (!isShort && (!showOutIdle || guests.size() <= clientsRoom - claimed(nowMs))) {
      return null;
    }
    int busy = 0;
    int idle = 0;
    G oldest = null;
    G longest = null;
    double longestMs = 0;
    G between = null;
    G behind = null;
    double behindMs = BEHIND_MS;
    for (G g : guests) {
      if (g.useless()) {
        if (oldest == null || g.sinceMs() < oldest.sinceMs()) {
          oldest = g;
        }
      } else if (g.busy()) {
        busy++;
        double ms = isShort ? g.behindMs(nowMs) : 0;
        if (ms > behindMs) {
          behindMs = ms;
          behind = g;
        }
      } else if (nowMs - g.sinceMs() < Math.min(HORIZON_MS, RHYTHM * g.gapMs())) {
        between = between == null || g.sinceMs() < between.sinceMs() ? g : between;
      } else {
        idle++;
        double ms = (nowMs - g.sinceMs()) * (g.answered() > 1 ? RETURNING : 1);
        if (longest == null || ms > longestMs) {
          longestMs = ms;
          longest = g;
        }
      }
    }
    if (isShort) {
      return oldest != null
          ? oldest
          : longest != null ? longest : behind != null ? behind : between;
    }
    return showOutIdle && idle > idleAllowed(nowMs, busy) ? longest : null;
  }
}
