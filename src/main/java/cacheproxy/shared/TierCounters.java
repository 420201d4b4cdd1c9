package cacheproxy.shared;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What the tier did, of one kind: answers of warm nodes, trials, refusals. Each proxy counts its
 * own and tells its total; a total of one life of one number only grows, so totals merge by the
 * greater one: in any order, any number of times, with the same result. A former life's total is
 * kept beside the present one's, so a restart loses and doubles nothing.
 *
 * <p>A reading is an interval with an age and says whom it has not heard of. What grew between two
 * words that both lie within the window is the least; what may have been done between a word before
 * the window and one in it, and by the silent since, at the rate that the caller says none can
 * pass, makes the most. So a total that is heard for the first time, or after a cut, adds nothing
 * to the least, however great it is. It serves to judge how much there is to do; what must not be
 * passed is held by {@link SlowStartQuota}, never by a reading.
 *
 * <p>Bounded: {@link #LIVES} lives of each number, {@link #MARKS} words of each. Times in
 * milliseconds of one clock.
 */
public final class TierCounters {
  /** Of a number: the present one and one that ran beside or before it. */
  static final int LIVES = 2;

  static final int MARKS = 6;
  private static final double MOST_OF_MEDIAN = 10;

  /** One total as it is told: whose, of which life, and how much. */
  public record Total(int proxy, int life, long count) {}

  /**
   * How often something was done within a window.
   *
   * @param least what is known
   * @param most with what those not heard of may have done
   * @param ageMs since the word of the one heard of longest ago, of those heard of
   * @param silent numbers of which there is no word within the window
   */
  public record Reading(long least, long most, double ageMs, List<Integer> silent) {}

  private final int me;
  private final int[] lives;
  private final long[] totals;

  /** By life: when what was said, oldest first. */
  private final double[][] markMs;

  private final long[][] marks;
  private final int[] marked;
  private final double spacingMs;

  /**
   * @param life drawn at the start, not 0; two lives of one number differ by it
   * @param windowMs the longest window that will be read
   */
  public TierCounters(int tier, int me, int life, double windowMs, double now) {
    if (life == 0 || me < 0 || me >= tier) {
      throw new IllegalArgumentException("life " + life + " of proxy " + me + " of " + tier);
    }
    this.me = me;
    lives = new int[tier * LIVES];
    totals = new long[tier * LIVES];
    markMs = new double[tier * LIVES][];
    marks = new long[tier * LIVES][];
    marked = new int[tier * LIVES];
    spacingMs = windowMs / (MARKS - 2);
    begin(me * LIVES, life);
    mark(me * LIVES, now);
  }

  private void begin(int at, int life) {
    lives[at] = life;
    totals[at] = 0;
    marked[at] = 0;
    if (markMs[at] == null) { // who is never heard of takes no room
      markMs[at] = new double[MARKS];
      marks[at] = new long[MARKS];
    }
  }

  /** The newest word moves on until it stands far enough from the one before. */
  private void mark(int at, double atMs) {
    int n = marked[at];
    double[] ms = markMs[at];
    if (n > 0 && atMs < ms[n - 1]) {
      marks[at][n - 1] = totals[at]; // by the later time it was so too
      return;
    }
    if (n > 1 && ms[n - 1] - ms[n - 2] < spacingMs) {
      n--;
    } else if (n == MARKS) {
      System.arraycopy(ms, 1, ms, 0, MARKS - 1);
      System.arraycopy(marks[at], 1, marks[at], 0, MARKS - 1);
      n--;
    }
    ms[n] = atMs;
    marks[at][n] = totals[at];
    marked[at] = n + 1;
  }

  /** This proxy has done it so often more. */
  public void add(double now, long count) {
    if (count < 0) {
      throw new IllegalArgumentException("count " + count);
    }
    totals[me * LIVES] = saturated(totals[me * LIVES], count);
    mark(me * LIVES, now);
  }

  private static long saturated(long a, long b) {
    return a > Long.MAX_VALUE - b ? Long.MAX_VALUE : a + b;
  }

  /** What this one tells of a proxy, itself among them. */
  public List<Total> totals(int proxy) {
    List<Total> all = new ArrayList<>();
    for (int l = proxy * LIVES; l < (proxy + 1) * LIVES; l++) {
      if (lives[l] != 0) {
        all.add(new Total(proxy, lives[l], totals[l]));
      }
    }
    return all;
  }

  /** The life of this proxy that was last heard of; null: none was. */
  public Total latest(int proxy) {
    int at = -1;
    for (int l = proxy * LIVES; l < (proxy + 1) * LIVES; l++) {
      at = lives[l] != 0 && (at < 0 || heardMs(l) > heardMs(at)) ? l : at;
    }
    return at < 0 ? null : new Total(proxy, lives[at], totals[at]);
  }

  private double heardMs(int at) {
    return marked[at] == 0 ? Double.NEGATIVE_INFINITY : markMs[at][marked[at] - 1];
  }

  /** When the last word of this proxy is from; negative infinity: there is none. */
  public double heardOf(int proxy) {
    return Math.max(heardMs(proxy * LIVES), heardMs(proxy * LIVES + 1));
  }

  /**
   * Another's word, first-hand or passed on. False: it said nothing new.
   *
   * @param atMs when it was so
   */
  public boolean merge(double atMs, Total told) {
    int p = told.proxy();
    if (p < 0
        || p >= lives.length / LIVES
        || told.life() == 0
        || told.count() < 0
        || p == me && told.life() == lives[me * LIVES]) {
      return false;
    }
    int at = -1;
    for (int l = p * LIVES; l < (p + 1) * LIVES; l++) {
      at = lives[l] == told.life() ? l : at;
    }
    for (int l = p * LIVES; l < (p + 1) * LIVES && at < 0; l++) {
      if (lives[l] == 0) {
        begin(l, told.life());
        at = l;
      }
    }
    if (at < 0) {
      // A third life: the one heard of longest ago is the one to forget.
      at = p * LIVES + (p == me || heardMs(p * LIVES) > heardMs(p * LIVES + 1) ? 1 : 0);
      if (atMs <= heardMs(at)) {
        return false;
      }
      begin(at, told.life());
    }
    boolean news = told.count() > totals[at] || marked[at] == 0;
    totals[at] = Math.max(totals[at], told.count());
    if (told.count() == totals[at]) { // an older word says nothing of a later time
      mark(at, atMs);
    }
    return news;
  }

  /** All that is known, as one number that only grows but for forgotten lives. */
  public long sum() {
    long all = 0;
    for (long t : totals) {
      all = saturated(all, t);
    }
    return all;
  }

  /**
   * The first word of this life that lies within the window; the number of its words: none does.
   */
  private int firstWithin(int at, double fromMs) {
    int m = 0;
    while (m < marked[at] && markMs[at][m] < fromMs) {
      m++;
    }
    return m;
  }

  /**
   * What was done within the last so many milliseconds.
   *
   * @param mostPerMs what no proxy can pass
   */
  public Reading read(double now, double windowMs, double mostPerMs) {
    double from = now - windowMs;
    long least = 0;
    long known = 0;
    double may = 0;
    double age = 0;
    List<Integer> silent = new ArrayList<>();
    for (int p = 0; p < lives.length / LIVES; p++) {
      for (int at = p * LIVES; at < (p + 1) * LIVES; at++) {
        if (marked[at] > 0) {
          int first = firstWithin(at, from);
          long newest = marks[at][marked[at] - 1];
          least = saturated(least, first == marked[at] ? 0 : newest - marks[at][first]);
          known = saturated(known, newest - (first == 0 ? 0 : marks[at][first - 1]));
        }
      }
      if (p != me) {
        double since = now - heardOf(p);
        may += mostPerMs * Math.min(since, windowMs);
        if (since > windowMs) {
          silent.add(p);
        } else {
          age = Math.max(age, since);
        }
      }
    }
    return new Reading(least, saturated(known, (long) Math.ceil(may)), age, silent);
  }

  /**
   * How often a millisecond it is done by those of whom there is word within the window; the others
   * count as nothing, and who claims more than {@link #MOST_OF_MEDIAN} times what is usual among
   * three and more counts as that.
   */
  public double perMs(double now, double windowMs) {
    double[] each = new double[lives.length];
    int n = 0;
    for (int at = 0; at < lives.length; at++) {
      int first = firstWithin(at, now - windowMs);
      int last = marked[at] - 1;
      double span = first < last ? markMs[at][last] - markMs[at][first] : 0;
      if (span >= windowMs / 8) {
        each[n++] = (marks[at][last] - marks[at][first]) / span;
      }
    }
    Arrays.sort(each, 0, n);
    double most = n < 3 ? Double.POSITIVE_INFINITY : MOST_OF_MEDIAN * each[n / 2];
    double sum = 0;
    for (int i = 0; i < n; i++) {
      sum += Math.min(each[i], most);
    }
    return sum;
  }
}
