package cacheproxy.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Results of a load. Each request is counted once, by its final outcome. Latencies are measured
 * from the time at which the request was due, so that they include any delay before it was sent.
 * Each thread has its own recorder; the recorders are merged at the end.
 */
public final class ResultRecorder {
  /**
   * Longest recorded time, in microseconds; longer times are recorded as this one. Histograms keep
   * two significant digits, a precision of 1%.
   */
  static final long MAX_RECORDED_US = 600_000_000L;

  /**
   * Final outcomes of requests, in the order of the report. {@code LATE} requests were served after
   * their class's latency objective.
   */
  public enum RequestOutcome {
    SERVED,
    LATE,
    REFUSED,
    FAILED,
    LOST
  }

  /** Outcome counts and latencies of one request class, or of all classes. */
  public static final class ClassResults {
    final long[] outcomeCounts = new long[RequestOutcome.values().length];

    /** Latencies of served requests, in microseconds. */
    final Histogram servedLatencies = new Histogram(MAX_RECORDED_US, 2);

    /** Times from due to the final outcome of all requests, in microseconds. */
    final Histogram completionTimes = new Histogram(MAX_RECORDED_US, 2);

    public long count(RequestOutcome outcome) {
      return outcomeCounts[outcome.ordinal()];
    }

    /** Number of served requests, both in time and late. */
    public long served() {
      return count(RequestOutcome.SERVED) + count(RequestOutcome.LATE);
    }

    /** Number of all requests, whatever their outcome, including those that were never sent. */
    public long sent() {
      long sum = 0;
      for (long n : outcomeCounts) {
        sum += n;
      }
      return sum;
    }

    /** Latency of served requests at this percentile (0 to 100), in milliseconds. */
    public double servedLatencyMs(double percentile) {
      return servedLatencies.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Time from due to the final outcome at this percentile (0 to 100), in milliseconds. */
    public double completionTimeMs(double percentile) {
      return completionTimes.getValueAtPercentile(percentile) / 1000.0;
    }

    private void merge(ClassResults other) {
      for (int i = 0; i < outcomeCounts.length; i++) {
        outcomeCounts[i] += other.outcomeCounts[i];
      }
      servedLatencies.add(other.servedLatencies);
      completionTimes.add(other.completionTimes);
    }
  }

  final List<RequestClass> requestClasses;
  final List<ClassResults> resultsByClass = new ArrayList<>();

  /** Outcome counts by the second in which the requests were due. */
  final List<long[]> outcomesBySecond = new ArrayList<>();

  /**
   * Delays from the due time of a request until its first attempt was sent, or until the request
   * was abandoned before that, in microseconds.
   */
  final Histogram scheduleLag = new Histogram(MAX_RECORDED_US, 2);

  public long attempts;

  /**
   * Number of requests that were resent because the proxy closed a reused connection before it
   * answered any byte.
   */
  public long resent;

  public long failedConnects;

  /** Number of answers that had a wrong id, were not expected or were malformed. */
  public long strayAnswers;

  /** Number of requests that timed out while they waited to be sent; they count as failed. */
  public long unsent;

  public long connections;

  public ResultRecorder(List<RequestClass> requestClasses) {
    this.requestClasses = List.copyOf(requestClasses);
    requestClasses.forEach(k -> resultsByClass.add(new ClassResults()));
  }

  /** Records how long after its due time the first attempt of a request was sent. */
  public void recordScheduleLag(double lagMs) {
    scheduleLag.recordValue(toMicros(lagMs));
  }

  /** Records the final outcome of a request, {@code elapsedMs} after it was due. */
  public void recordOutcome(
      int classIndex,
      double dueMs,
      ClientRetryPolicy.AttemptOutcome attemptOutcome,
      double elapsedMs) {
    RequestOutcome outcome =
        switch (attemptOutcome) {
          case SERVED ->
              elapsedMs <= requestClasses.get(classIndex).latencyObjectiveMs()
                  ? RequestOutcome.SERVED
                  : RequestOutcome.LATE;
          case REFUSED -> RequestOutcome.REFUSED;
          case FAILED, UNCONNECTED -> RequestOutcome.FAILED;
          case LOST -> RequestOutcome.LOST;
        };
    ClassResults classResults = resultsByClass.get(classIndex);
    classResults.outcomeCounts[outcome.ordinal()]++;
    classResults.completionTimes.recordValue(toMicros(elapsedMs));
    if (attemptOutcome == ClientRetryPolicy.AttemptOutcome.SERVED) {
      classResults.servedLatencies.recordValue(toMicros(elapsedMs));
    }
    int second = (int) (dueMs / 1000);
    while (outcomesBySecond.size() <= second) {
      outcomesBySecond.add(new long[RequestOutcome.values().length]);
    }
    outcomesBySecond.get(second)[outcome.ordinal()]++;
  }

  private static long toMicros(double ms) {
    return Math.max(0, Math.min(MAX_RECORDED_US, Math.round(ms * 1000)));
  }

  /** Adds the results of another recorder to this one. */
  public void merge(ResultRecorder other) {
    for (int k = 0; k < resultsByClass.size(); k++) {
      resultsByClass.get(k).merge(other.resultsByClass.get(k));
    }
    for (int s = 0; s < other.outcomesBySecond.size(); s++) {
      while (outcomesBySecond.size() <= s) {
        outcomesBySecond.add(new long[RequestOutcome.values().length]);
      }
      for (int i = 0; i < RequestOutcome.values().length; i++) {
        outcomesBySecond.get(s)[i] += other.outcomesBySecond.get(s)[i];
      }
    }
    scheduleLag.add(other.scheduleLag);
    attempts += other.attempts;
    resent += other.resent;
    failedConnects += other.failedConnects;
    strayAnswers += other.strayAnswers;
    unsent += other.unsent;
    connections += other.connections;
  }

  /** Results of all classes combined. */
  public ClassResults total() {
    ClassResults total = new ClassResults();
    resultsByClass.forEach(total::merge);
    return total;
  }

  public ClassResults forClass(int classIndex) {
    return resultsByClass.get(classIndex);
  }

  /**
   * Delay of first attempts after their due time at this percentile (0 to 100), in milliseconds.
   */
  public double scheduleLagMs(double percentile) {
    return scheduleLag.getValueAtPercentile(percentile) / 1000.0;
  }
}
