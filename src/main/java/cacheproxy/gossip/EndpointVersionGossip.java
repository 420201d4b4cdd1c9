package cacheproxy.gossip;

import java.util.Arrays;

/**
 * Whether this proxy's list of servers is behind the others', by the versions that they tell of.
 * Guards against a watch that has fallen silent: its proxy routes by an old list until the watch's
 * wait is over, sends to servers that are gone, and ranks keys otherwise than the rest of the tier,
 * so that both halves miss. A version is a hint: it moves the time of this proxy's own next call
 * and nothing else; what is listed, discovery alone says.
 *
 * <p>Bounded: one number for each peer, one message a change for two voices of the tier, one call
 * for {@link #AGAIN_MS}; a peer whose version own calls don't bear out is heard less and less.
 * Times in milliseconds, on any one clock; lots lie from 0 to 1.
 */
public final class EndpointVersionGossip {
  /**
   * News is told within this time, by lot, so that whoever hears it told by {@link #VOICES} others
   * need not.
   */
  static final double TELL_SPREAD_MS = 120;

  /** Two, as datagrams get lost. */
  static final int VOICES = 2;

  /** Nobody tells more often than this, whatever comes in. */
  static final double TELL_AGAIN_MS = 300;

  /**
   * The own watch may bring the news this much later than another's, by lot: the service works
   * through the tier's answers in turn, some 0.2 s each, and those who have nothing by then must
   * not call all at once.
   */
  static final double LATE_MS = 600;

  static final double ASK_SPREAD_MS = 1400;

  /** How long the service's latest answer times stand for the queue in front of it. */
  static final double QUEUE_MEMORY_MS = 10_000;

  /**
   * The longest that an answer is taken to wait in the service's queue: an overbooked one refuses
   * what has waited for 3 s.
   */
  public static final double MOST_QUEUE_MS = 3200;

  /**
   * The most that a peer's word waits for the queue. Harm of a longer bound: what a silent watch
   * misses counts as known 6 s after the change, with 2 s of grace; in a tier with two live watches
   * and a third of its datagrams lost all know by then with this bound and not with 3 s.
   */
  static final double MOST_WAIT_FOR_QUEUE_MS = 2500;

  /** After a call the next one for what is still only told waits this long. */
  static final double AGAIN_MS = 4000;

  private static final int MOST_DOUBLINGS = 6;

  /** The spreads stand for a tier of this size; a larger one has more voices to keep apart. */
  private static final double TIER = 14;

  private static final double MOST_ASK_SPREAD_MS = 8000;
  private static final double LEAST_TELL_SPREAD_MS = 20;

  private final int me;
  private final long[] told;
  private final double[] ignoredUntil;
  private final int[] mistaken;
  private double tellSpreadMs = TELL_SPREAD_MS;
  private double askSpreadMs = ASK_SPREAD_MS;
  private long own;
  private double tellMs = Double.POSITIVE_INFINITY;
  private double toldMs = Double.NEGATIVE_INFINITY;
  private double askMs = Double.POSITIVE_INFINITY;
  private double judgeMs = Double.POSITIVE_INFINITY;
  private double queueMs;
  private double queueSeenMs = Double.NEGATIVE_INFINITY;

  /**
   * @param peers how many proxies the tier has
   * @param me this one's number
   */
  public EndpointVersionGossip(int peers, int me) {
    this.me = me;
    told = new long[peers];
    ignoredUntil = new double[peers];
    mistaken = new int[peers];
  }

  /**
   * How many of the tier are there, and how long a message takes there and back. News is spread so
   * that about {@link #VOICES} speak before they can have heard others, and calls so that the
   * service has as much time for each as in a tier of {@link #TIER}.
   *
   * @param delayMs 0: not known
   */
  public void tier(int alive, double delayMs) {
    int there = Math.max(1, alive);
    askSpreadMs = Math.min(MOST_ASK_SPREAD_MS, ASK_SPREAD_MS * there / TIER);
    tellSpreadMs =
        delayMs > 0
            ? Math.max(LEAST_TELL_SPREAD_MS, there * delayMs / 2 / VOICES)
            : TELL_SPREAD_MS * there / TIER;
  }

  /**
   * A call to the service has ended, answered or refused, after this time. As the service works in
   * turn, others' answers come as much apart: until then the own one may still stand in its queue.
   *
   * @param tookMs a call that had nothing to wait for but its turn; more than {@link
   *     #MOST_QUEUE_MS} counts as that
   */
  public void queued(double now, double tookMs) {
    double seen = Math.min(MOST_QUEUE_MS, tookMs);
    if (seen >= queueMs(now)) {
      queueMs = seen;
      queueSeenMs = now;
    }
  }

  /**
   * How long an answer may stand in the service's queue, by the longest wait of the last {@link
   * #QUEUE_MEMORY_MS}.
   */
  public double queueMs(double now) {
    return now - queueSeenMs <= QUEUE_MEMORY_MS ? queueMs : 0;
  }

  /** Discovery has told this proxy of the list up to this version; also where that is no news. */
  public void own(double now, long version, double lot) {
    boolean news = version > own;
    own = version; // also where it is lower: another service may count otherwise
    for (int p = 0; p < told.length; p++) {
      mistaken[p] = told[p] != 0 && told[p] <= own ? 0 : mistaken[p];
    }
    if (news) {
      tellMs = Math.min(tellMs, Math.max(now + lot * tellSpreadMs, toldMs + TELL_AGAIN_MS));
    }
    if (!behind()) {
      askMs = judgeMs = Double.POSITIVE_INFINITY;
    }
  }

  /** A peer tells that its list is at this version. */
  public void heard(double now, int peer, long version, double lot) {
    if (peer < 0 || peer >= told.length || peer == me || version <= 0 || now < ignoredUntil[peer]) {
      return;
    }
    told[peer] = version;
    if (version < own) { // it may have missed what was told
      tellMs = Math.min(tellMs, Math.max(now + lot * tellSpreadMs, toldMs + TELL_AGAIN_MS));
    } else if (version > own
        && askMs == Double.POSITIVE_INFINITY
        && judgeMs == Double.POSITIVE_INFINITY) {
      askMs = now + LATE_MS + Math.min(MOST_WAIT_FOR_QUEUE_MS, queueMs(now)) + lot * askSpreadMs;
    }
  }

  /**
   * When {@link #tells} or {@link #asks} is next to be looked at; infinite: not before something
   * comes.
   */
  public double dueMs() {
    return Math.min(tellMs, Math.min(askMs, judgeMs));
  }

  /** The version to tell all of the tier now; 0: none. */
  public long tells(double now) {
    if (now < tellMs) {
      return 0;
    }
    tellMs = Double.POSITIVE_INFINITY;
    int voices = 0;
    int others = 0;
    for (int p = 0; p < told.length; p++) {
      voices += told[p] == own ? 1 : 0;
      others += told[p] != 0 && told[p] < own ? 1 : 0;
    }
    if (voices >= VOICES && others == 0 || own <= 0) {
      return 0;
    }
    // Who was behind has now been told; it is told again if it speaks again.
    for (int p = 0; p < told.length; p++) {
      told[p] = told[p] < own ? 0 : told[p];
    }
    toldMs = now;
    return own;
  }

  /** Whether to call discovery now, as the own watch has not brought what others have been told. */
  public boolean asks(double now) {
    if (now >= judgeMs) {
      judgeMs = Double.POSITIVE_INFINITY;
      for (int p = 0; p < told.length; p++) {
        if (told[p] > own) { // an own call has not borne it out
          ignoredUntil[p] = now + AGAIN_MS * (1 << Math.min(mistaken[p]++, MOST_DOUBLINGS));
          told[p] = 0;
        }
      }
    }
    if (now < askMs) {
      return false;
    }
    askMs = Double.POSITIVE_INFINITY;
    judgeMs = now + AGAIN_MS;
    return true;
  }

  private boolean behind() {
    return Arrays.stream(told).anyMatch(v -> v > own);
  }
}
