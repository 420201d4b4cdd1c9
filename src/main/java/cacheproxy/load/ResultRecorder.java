package cacheproxy.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a load came to. Each request that was due is counted once, by its last end; times run from
 * when it was due, so that a request which a stall kept from being sent shows the stall. Tallies of
 * several threads are added up.
 */
public final class ResultRecorder {
  /** Two digits: a figure is right to a hundredth. Nothing takes longer than this. */
  static final long MOST_US = 600_000_000L;

  /** The ends of requests, in the report's order. {@code LATE} ones are served, after their aim. */
  public enum Last {
    SERVED,
    LATE,
    REFUSED,
    FAILED,
    LOST
  }

  /** Counts and times of one class, or of all. */
  public static final class Part {
    final long[] ends = new long[Last.values().length];

    /** Of those that were served. */
    final Histogram served = new Histogram(MOST_US, 2);

    /** Of all, whatever their end. */
    final Histogram all = new Histogram(MOST_US, 2);

    public long of(Last last) {
      return ends[last.ordinal()];
    }

    /** Served, late or not. */
    public long served() {
      return of(Last.SERVED) + of(Last.LATE);
    }

    public long sent() {
      long sum = 0;
      for (long n : ends) {
        sum += n;
      }
      return sum;
    }

    /** Milliseconds within which this part of the served have had their answer, from 0 to 100. */
    public double servedMs(double percentile) {
      return served.getValueAtPercentile(percentile) / 1000.0;
    }

    /** The same of all, by their last end. */
    public double endMs(double percentile) {
      return all.getValueAtPercentile(percentile) / 1000.0;
    }

    private void add(Part other) {
      for (int i = 0; i < ends.length; i++) {
        ends[i] += other.ends[i];
      }
      served.add(other.served);
      all.add(other.all);
    }
  }

  final List<Kind> kinds;
  final List<Part> parts = new ArrayList<>();

  /** Ends by the second in which their requests were due. */
  final List<long[]> seconds = new ArrayList<>();

  /** How late a first try was written, or given up unwritten. */
  final Histogram lag = new Histogram(MOST_US, 2);

  public long tries;

  /**
   * Written once more as the connection had ended under them with nothing answered (PROTOCOL,
   * clients).
   */
  public long resent;

  public long unconnected;

  /** Answers that bore another id, came where none was owed, or could not be read. */
  public long strays;

  /** Never written, as no connection was to be had in their time; they count as failed. */
  public long unsent;

  public long connections;

  public ResultRecorder(List<Kind> kinds) {
    this.kinds = List.copyOf(kinds);
    kinds.forEach(k -> parts.add(new Part()));
  }

  /** A first try was written so long after it was due. */
  public void written(double lagMs) {
    lag.recordValue(us(lagMs));
  }

  /** A request has come to its last end, so long after it was due. */
  public void ended(int kind, double dueMs, ClientTimeouts.End end, double tookMs) {
    Last last =
        switch (end) {
          case SERVED -> tookMs <= kinds.get(kind).aimMs() ? Last.SERVED : Last.LATE;
          case REFUSED -> Last.REFUSED;
          case FAILED, UNCONNECTED -> Last.FAILED;
          case LOST -> Last.LOST;
        };
    Part part = parts.get(kind);
    part.ends[last.ordinal()]++;
    part.all.recordValue(us(tookMs));
    if (end == ClientTimeouts.End.SERVED) {
      part.served.recordValue(us(tookMs));
    }
    int second = (int) (dueMs / 1000);
    while (seconds.size() <= second) {
      seconds.add(new long[Last.values().length]);
    }
    seconds.get(second)[last.ordinal()]++;
  }

  private static long us(double ms) {
    return Math.max(0, Math.min(MOST_US, Math.round(ms * 1000)));
  }

  /** Takes over what another has counted. */
  public void add(ResultRecorder other) {
    for (int k = 0; k < parts.size(); k++) {
      parts.get(k).add(other.parts.get(k));
    }
    for (int s = 0; s < other.seconds.size(); s++) {
      while (seconds.size() <= s) {
        seconds.add(new long[Last.values().length]);
      }
      for (int i = 0; i < Last.values().length; i++) {
        seconds.get(s)[i] += other.seconds.get(s)[i];
      }
    }
    lag.add(other.lag);
    tries += other.tries;
    resent += other.resent;
    unconnected += other.unconnected;
    strays += other.strays;
    unsent += other.unsent;
    connections += other.connections;
  }

  /** All classes together. */
  public Part whole() {
    Part whole = new Part();
    parts.forEach(whole::add);
    return whole;
  }

  public Part of(int kind) {
    return parts.get(kind);
  }

  /** Milliseconds by which first tries were late, from 0 to 100 percent. */
  public double lagMs(double percentile) {
    return lag.getValueAtPercentile(percentile) / 1000.0;
  }
}
