package cacheproxy.shared;

import cacheproxy.shared.SharedMessage.CounterReport;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts the answers of warm nodes that the tier has received, with one {@link TierCounters} for
 * each kind of node. All times are milliseconds of one clock. Not thread-safe.
 */
final class ServedCounters {
  static final int KINDS = 4;

  /** The window over which rates are measured. */
  static final double WINDOW_MS = 5000;

  /** Older reports of other proxies are not forwarded. */
  private static final double MAX_FORWARDED_AGE_MS = 2500;

  private final int proxies;
  private final int me;
  private final TierCounters[] byKind = new TierCounters[KINDS];

  /** The proxy whose counters were forwarded last; proxies are forwarded in rotation. */
  private int lastForwarded;

  ServedCounters(int proxies, int me, int incarnation, double now) {
    this.proxies = proxies;
    this.me = me;
    for (int kind = 0; kind < KINDS; kind++) {
      byKind[kind] = new TierCounters(proxies, me, incarnation, WINDOW_MS, now);
    }
  }

  static boolean isValidKind(int kind) {
    return kind >= 0 && kind < KINDS;
  }

  /** Counts one answer that this proxy received. Called for each request. */
  void increment(double now, int kind) {
    byKind[kind].add(now, 1);
  }

  /** Answers per millisecond that the tier receives, according to the reports known here. */
  double ratePerMs(double now, int kind) {
    return byKind[kind].ratePerMs(now, WINDOW_MS);
  }

  /** Answers per second that the tier receives, by kind of node. */
  double[] ratesPerSecond(double now) {
    double[] rates = new double[KINDS];
    for (int kind = 0; kind < KINDS; kind++) {
      rates[kind] = 1000 * ratePerMs(now, kind);
    }
    return rates;
  }

  void merge(double now, CounterReport report) {
    if (isValidKind(report.kind())) {
      byKind[report.kind()].merge(now - report.ageMs(), report.total());
    }
  }

  /**
   * The counters for one response: this proxy's own and, in rotation, recently reported ones of
   * other proxies.
   *
   * @param requester the receiver of the response, whose own counters are omitted
   * @param capacity the number of reports at which no further proxy's counters are added
   */
  List<CounterReport> reports(double now, int requester, int capacity) {
    List<CounterReport> reports = new ArrayList<>();
    for (int kind = 0; kind < KINDS; kind++) {
      TierCounters.Total own = byKind[kind].latest(me).orElseThrow();
      if (own.count() > 0) {
        reports.add(new CounterReport(kind, own, 0));
      }
    }
    for (int i = 0; i < proxies && reports.size() < capacity; i++) {
      lastForwarded = (lastForwarded + 1) % proxies;
      if (lastForwarded != requester && lastForwarded != me) {
        addForwarded(now, lastForwarded, capacity, reports);
      }
    }
    return reports;
  }

  private void addForwarded(double now, int proxy, int capacity, List<CounterReport> reports) {
    for (int kind = 0; kind < KINDS && reports.size() < capacity; kind++) {
      double ageMs = now - byKind[kind].lastReportMs(proxy);
      if (ageMs < MAX_FORWARDED_AGE_MS) {
        reports.add(new CounterReport(kind, byKind[kind].latest(proxy).orElseThrow(), ageMs));
      }
    }
  }
}
