package cacheproxy.shared;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Counts events of one type across the proxies of a tier, such as answers of warm nodes. Each proxy
 * counts its own events and reports its total. The total of one incarnation only grows, so reports
 * are merged by maximum, and neither their order nor repetitions change the result. The total of
 * the previous incarnation is kept separately from the current one, so that a restart neither loses
 * nor duplicates events.
 *
 * <p>A {@link Reading} of a window is an interval. Its lower bound is the growth between reports
 * within the window. Its upper bound adds the growth between the last report before the window and
 * the first one in it, and the events that may have happened since each proxy's last report at a
 * maximum rate given by the caller. The first report of a total, or the first after a partition,
 * adds nothing to the lower bound. Readings are estimates; {@link SlowStartQuota} enforces limits
 * that must hold.
 *
 * <p>Memory is bounded: {@link #MAX_INCARNATIONS} incarnations of each proxy, {@link
 * IncarnationCounter#MAX_READINGS} readings of each. All times are milliseconds of one clock. Not
 * thread-safe.
 */
public final class TierCounters {
  /** Incarnations kept per proxy: the current one and one that ran before or concurrently. */
  static final int MAX_INCARNATIONS = 2;

  /** With at least this many known rates, a rate far above the median is limited. */
  private static final int MIN_PROXIES_FOR_MEDIAN = 3;

  private static final double MAX_MULTIPLE_OF_MEDIAN = 10;

  /** Two readings give a rate only if they span at least this share of the window. */
  private static final double MIN_SPAN_SHARE = 1.0 / 8;

  /**
   * One reported total.
   *
   * @param proxy the number of the proxy that counted the events
   * @param incarnation random number drawn at that proxy's start, not 0
   */
  public record Total(int proxy, int incarnation, long count) {}

  /**
   * Bounds on the number of events within a window.
   *
   * @param lowerBound the events that certainly happened
   * @param upperBound the events that may have happened, including those not reported yet
   * @param ageMs the age of the oldest last report among the proxies that are not silent
   * @param silentProxies the proxies without a report in the window
   */
  public record Reading(
      long lowerBound, long upperBound, double ageMs, List<Integer> silentProxies) {}

  private final int proxies;
  private final int me;

  /** {@link #MAX_INCARNATIONS} slots for each proxy; null where no incarnation was reported. */
  private final IncarnationCounter[] counters;

  private final IncarnationCounter own;
  private final double minSpacingMs;

  /** Buffer reused by {@link #ratePerMs}, which is called for each request. */
  private final double[] rates;

  /**
   * Creates counters with a total of 0 for this proxy and no totals of others.
   *
   * @param incarnation random number drawn at the start, not 0
   * @param windowMs the longest window that will be read
   * @throws IllegalArgumentException if a number is out of bounds
   */
  public TierCounters(int proxies, int me, int incarnation, double windowMs, double now) {
    if (incarnation == 0 || me < 0 || me >= proxies) {
      throw new IllegalArgumentException(
          "incarnation " + incarnation + " of proxy " + me + " of " + proxies);
    }
    this.proxies = proxies;
    this.me = me;
    counters = new IncarnationCounter[proxies * MAX_INCARNATIONS];
    rates = new double[counters.length];
    minSpacingMs = windowMs / (IncarnationCounter.MAX_READINGS - 2);
    own = new IncarnationCounter(incarnation);
    own.recordReading(now, minSpacingMs);
    counters[me * MAX_INCARNATIONS] = own;
  }

  /**
   * Adds events of this proxy. Called for each request.
   *
   * @throws IllegalArgumentException if the count is negative
   */
  public void add(double now, long count) {
    if (count < 0) {
      throw new IllegalArgumentException("count " + count);
    }
    own.raiseTo(saturatedSum(own.count(), count));
    own.recordReading(now, minSpacingMs);
  }

  private static long saturatedSum(long a, long b) {
    return a > Long.MAX_VALUE - b ? Long.MAX_VALUE : a + b;
  }

  private static int firstSlot(int proxy) {
    return proxy * MAX_INCARNATIONS;
  }

  /** All known totals of a proxy, which may be this one. */
  public List<Total> totals(int proxy) {
    List<Total> totals = new ArrayList<>();
    for (int slot = firstSlot(proxy); slot < firstSlot(proxy + 1); slot++) {
      if (counters[slot] != null) {
        totals.add(totalOf(proxy, counters[slot]));
      }
    }
    return totals;
  }

  private static Total totalOf(int proxy, IncarnationCounter counter) {
    return new Total(proxy, counter.incarnation(), counter.count());
  }

  /** The total of the most recently reported incarnation of the proxy; empty if there is none. */
  public Optional<Total> latest(int proxy) {
    IncarnationCounter latest = null;
    for (int slot = firstSlot(proxy); slot < firstSlot(proxy + 1); slot++) {
      if (counters[slot] != null
          && (latest == null || lastReadingMs(slot) > latest.lastReadingMs())) {
        latest = counters[slot];
      }
    }
    return Optional.ofNullable(latest).map(counter -> totalOf(proxy, counter));
  }

  private double lastReadingMs(int slot) {
    return counters[slot] == null ? Double.NEGATIVE_INFINITY : counters[slot].lastReadingMs();
  }

  /** The time of the last report of this proxy; negative infinity if there is none. */
  public double lastReportMs(int proxy) {
    return Math.max(lastReadingMs(firstSlot(proxy)), lastReadingMs(firstSlot(proxy) + 1));
  }

  /**
   * Merges a total that another proxy counted, reported by that proxy or forwarded by a third one.
   *
   * @param atMs when the total had this value
   * @return whether the report was new; false also for invalid numbers
   */
  public boolean merge(double atMs, Total reported) {
    boolean valid =
        reported.proxy() >= 0
            && reported.proxy() < proxies
            && reported.incarnation() != 0
            && reported.count() >= 0;
    if (!valid || reported.proxy() == me && reported.incarnation() == own.incarnation()) {
      return false;
    }
    IncarnationCounter counter = findOrCreateCounter(atMs, reported);
    if (counter == null) {
      return false;
    }
    boolean isNew = reported.count() > counter.count() || counter.size() == 0;
    counter.raiseTo(reported.count());
    if (reported.count() == counter.count()) { // a lower count was overtaken by a later report
      counter.recordReading(atMs, minSpacingMs);
    }
    return isNew;
  }

  /**
   * The counter to merge the report into, created if necessary; null if the report is from an
   * unknown incarnation and older than the readings of all known ones.
   */
  private IncarnationCounter findOrCreateCounter(double atMs, Total reported) {
    int first = firstSlot(reported.proxy());
    for (int slot = first; slot < first + MAX_INCARNATIONS; slot++) {
      if (counters[slot] != null && counters[slot].incarnation() == reported.incarnation()) {
        return counters[slot];
      }
    }
    for (int slot = first; slot < first + MAX_INCARNATIONS; slot++) {
      if (counters[slot] == null) {
        return createCounter(slot, reported.incarnation());
      }
    }
    // A third incarnation replaces the least recently reported one, but never this process's own.
    boolean second = reported.proxy() == me || lastReadingMs(first) > lastReadingMs(first + 1);
    int oldest = second ? first + 1 : first;
    return atMs <= lastReadingMs(oldest) ? null : createCounter(oldest, reported.incarnation());
  }

  private IncarnationCounter createCounter(int slot, int incarnation) {
    counters[slot] = new IncarnationCounter(incarnation);
    return counters[slot];
  }

  /**
   * The sum of all known totals. It decreases only when the counter of an incarnation is replaced.
   */
  public long sum() {
    long sum = 0;
    for (IncarnationCounter counter : counters) {
      sum = counter == null ? sum : saturatedSum(sum, counter.count());
    }
    return sum;
  }

  /**
   * Returns bounds on the number of events within the last {@code windowMs}.
   *
   * @param maxRatePerMs a rate of events that no proxy can exceed
   */
  public Reading read(double now, double windowMs, double maxRatePerMs) {
    double fromMs = now - windowMs;
    long lowerBound = 0;
    long upperBound = 0;
    for (IncarnationCounter counter : counters) {
      if (counter != null) {
        lowerBound = saturatedSum(lowerBound, counter.growthWithin(fromMs));
        upperBound = saturatedSum(upperBound, counter.growthSinceBefore(fromMs));
      }
    }
    double unreported = 0;
    double ageMs = 0;
    List<Integer> silent = new ArrayList<>();
    for (int proxy = 0; proxy < proxies; proxy++) {
      if (proxy == me) {
        continue;
      }
      double sinceMs = now - lastReportMs(proxy);
      unreported += maxRatePerMs * Math.min(sinceMs, windowMs);
      if (sinceMs > windowMs) {
        silent.add(proxy);
      } else {
        ageMs = Math.max(ageMs, sinceMs);
      }
    }
    upperBound = saturatedSum(upperBound, (long) Math.ceil(unreported));
    return new Reading(lowerBound, upperBound, ageMs, silent);
  }

  /**
   * The events per millisecond of all proxies with enough readings in the window; the others count
   * as 0. With at least {@link #MIN_PROXIES_FOR_MEDIAN} rates, each is limited to {@link
   * #MAX_MULTIPLE_OF_MEDIAN} times the median, so that one faulty report has a bounded effect.
   * Called for each request.
   */
  public double ratePerMs(double now, double windowMs) {
    int known = 0;
    for (IncarnationCounter counter : counters) {
      double rate =
          counter == null ? -1 : counter.ratePerMs(now - windowMs, windowMs * MIN_SPAN_SHARE);
      if (rate >= 0) {
        rates[known++] = rate;
      }
    }
    Arrays.sort(rates, 0, known);
    double max =
        known < MIN_PROXIES_FOR_MEDIAN
            ? Double.POSITIVE_INFINITY
            : MAX_MULTIPLE_OF_MEDIAN * rates[known / 2];
    double sum = 0;
    for (int i = 0; i < known; i++) {
      sum += Math.min(rates[i], max);
    }
    return sum;
  }
}
