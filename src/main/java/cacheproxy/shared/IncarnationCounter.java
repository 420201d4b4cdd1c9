package cacheproxy.shared;

/**
 * The counter of one incarnation of a proxy: its highest known count and up to {@link
 * #MAX_READINGS} earlier values with their times, oldest first. All times are milliseconds of one
 * clock. Not thread-safe.
 */
final class IncarnationCounter {
  static final int MAX_READINGS = 6;

  private final int incarnation;
  private final double[] readingTimesMs = new double[MAX_READINGS];
  private final long[] readings = new long[MAX_READINGS];
  private int size;
  private long count;

  IncarnationCounter(int incarnation) {
    this.incarnation = incarnation;
  }

  int incarnation() {
    return incarnation;
  }

  long count() {
    return count;
  }

  /** The number of readings. */
  int size() {
    return size;
  }

  /** The time of the newest reading; negative infinity if there is none. */
  double lastReadingMs() {
    return size == 0 ? Double.NEGATIVE_INFINITY : readingTimesMs[size - 1];
  }

  /** Raises the count to this value; a lower value has no effect. */
  void raiseTo(long newCount) {
    count = Math.max(count, newCount);
  }

  /**
   * Records that the count had its current value at this time. Overwrites the newest reading if
   * that is less than {@code minSpacingMs} after the one before it.
   *
   * @param minSpacingMs the least time between two readings that are both kept
   */
  void recordReading(double atMs, double minSpacingMs) {
    if (size > 0 && atMs < readingTimesMs[size - 1]) {
      readings[size - 1] = count; // the count was already this high at the later time
      return;
    }
    if (size > 1 && readingTimesMs[size - 1] - readingTimesMs[size - 2] < minSpacingMs) {
      size--;
    } else if (size == MAX_READINGS) {
      System.arraycopy(readingTimesMs, 1, readingTimesMs, 0, MAX_READINGS - 1);
      System.arraycopy(readings, 1, readings, 0, MAX_READINGS - 1);
      size--;
    }
    readingTimesMs[size] = atMs;
    readings[size] = count;
    size++;
  }

  /** The index of the first reading at or after this time; {@link #size} if there is none. */
  private int firstSince(double fromMs) {
    int index = 0;
    while (index < size && readingTimesMs[index] < fromMs) {
      index++;
    }
    return index;
  }

  /**
   * The growth of the count between the first reading at or after this time and the newest reading:
   * a lower bound on the growth since this time.
   */
  long growthWithin(double fromMs) {
    int first = firstSince(fromMs);
    return first == size ? 0 : readings[size - 1] - readings[first];
  }

  /**
   * The growth of the count from the last reading before this time to the newest reading: an upper
   * bound on the growth between this time and the newest reading.
   */
  long growthSinceBefore(double fromMs) {
    if (size == 0) {
      return 0;
    }
    int first = firstSince(fromMs);
    return readings[size - 1] - (first == 0 ? 0 : readings[first - 1]);
  }

  /**
   * The growth per millisecond between the first reading at or after this time and the newest one.
   * Returns -1 if the two are too close together; not an Optional, as it is called for each
   * request.
   *
   * @param minSpanMs the least time between the two readings
   */
  double ratePerMs(double fromMs, double minSpanMs) {
    int first = firstSince(fromMs);
    int last = size - 1;
    double spanMs = first < last ? readingTimesMs[last] - readingTimesMs[first] : 0;
    return spanMs >= minSpanMs ? (readings[last] - readings[first]) / spanMs : -1;
  }
}
