package cacheproxy.limits;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the sum of the reservations of all {@link ByteAccount}s for each purpose and holds the
 * bounds on these sums. Not thread-safe: used only on the event loop thread.
 */
public final class ByteAccounts {
  private static final BufferPurpose[] PURPOSES = BufferPurpose.values();

  // Indexed by the ordinal of the purpose. An EnumMap would box a number for each reservation on
  // the request path.
  private final long[] maxBytes = new long[PURPOSES.length];
  private final long[] reservedBytes = new long[PURPOSES.length];
  private final long[] peakBytes = new long[PURPOSES.length];

  /**
   * Creates an empty set of accounts.
   *
   * @param bounds the maximum number of bytes that all peers together may reserve for each purpose.
   *     A purpose without an entry is unbounded.
   * @throws IllegalArgumentException if a bound is not positive
   */
  public ByteAccounts(Map<BufferPurpose, Long> bounds) {
    Arrays.fill(maxBytes, Long.MAX_VALUE);
    bounds.forEach(
        (purpose, bound) -> {
          if (bound <= 0) {
            throw new IllegalArgumentException(
                "the bound of " + purpose + " must be positive, not " + bound + " bytes");
          }
          maxBytes[purpose.ordinal()] = bound;
        });
  }

  /** Opens an account for a peer that has connected. */
  public ByteAccount open() {
    return new ByteAccount(this);
  }

  /** Returns whether a further reservation of this many bytes would stay within the bound. */
  public boolean hasCapacity(BufferPurpose purpose, long bytes) {
    return reservedBytes[purpose.ordinal()] + bytes <= maxBytes[purpose.ordinal()];
  }

  void add(BufferPurpose purpose, long bytes) {
    int i = purpose.ordinal();
    reservedBytes[i] += bytes;
    peakBytes[i] = Math.max(peakBytes[i], reservedBytes[i]);
  }

  /** Returns the bytes that all accounts together have reserved for the purpose. */
  public long reservedBytes(BufferPurpose purpose) {
    return reservedBytes[purpose.ordinal()];
  }

  /**
   * Returns the maximum number of bytes that all accounts together have had reserved for the
   * purpose.
   */
  public long peakBytes(BufferPurpose purpose) {
    return peakBytes[purpose.ordinal()];
  }

  /**
   * Returns the bound on the reservations for the purpose in bytes, or {@code Long.MAX_VALUE} if
   * the purpose is unbounded.
   */
  public long maxBytes(BufferPurpose purpose) {
    return maxBytes[purpose.ordinal()];
  }

  /**
   * Returns the highest ratio of reserved bytes to the bound over all bounded purposes. It exceeds
   * 1 when already received bytes exceed a bound. Streaming is ignored: it uses all of its capacity
   * by design, and flow control slows down the upstream servers.
   */
  public double utilization() {
    double highest = 0;
    for (int i = 0; i < PURPOSES.length; i++) {
      if (maxBytes[i] != Long.MAX_VALUE && i != BufferPurpose.STREAMING.ordinal()) {
        highest = Math.max(highest, (double) reservedBytes[i] / maxBytes[i]);
      }
    }
    return highest;
  }

  /** Returns the reserved bytes of each purpose, by {@link BufferPurpose#logName()}. */
  public Map<String, Long> reservedByLogName() {
    return byLogName(reservedBytes);
  }

  /**
   * Returns the peak of each purpose, by {@link BufferPurpose#logName()}. The peaks may have
   * occurred at different times.
   */
  public Map<String, Long> peaksByLogName() {
    return byLogName(peakBytes);
  }

  private static Map<String, Long> byLogName(long[] bytes) {
    Map<String, Long> named = new LinkedHashMap<>();
    for (BufferPurpose purpose : PURPOSES) {
      named.put(purpose.logName(), bytes[purpose.ordinal()]);
    }
    return named;
  }
}
