package cacheproxy.limits;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All byte accounts: the sums that they reserve by purpose, and the bounds on these sums. Used by
 * the event loop's thread only.
 */
public final class ByteAccounts {
  private static final BufferPurpose[] PURPOSES = BufferPurpose.values();

  // Indexed by the ordinal: these are on the request path, where an EnumMap would box each sum.
  private final long[] maxBytes = new long[PURPOSES.length];
  private final long[] reservedBytes = new long[PURPOSES.length];
  private final long[] peakBytes = new long[PURPOSES.length];

  /**
   * Creates accounts with these bounds.
   *
   * @param bounds the most bytes that all peers together may reserve; a purpose without an entry
   *     has no bound
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

  /** Opens the account of a peer that has connected. */
  public ByteAccount open() {
    return new ByteAccount(this);
  }

  /** Whether this many more bytes may be reserved for this purpose. */
  public boolean hasCapacity(BufferPurpose purpose, long bytes) {
    return reservedBytes[purpose.ordinal()] + bytes <= maxBytes[purpose.ordinal()];
  }

  void add(BufferPurpose purpose, long bytes) {
    int i = purpose.ordinal();
    reservedBytes[i] += bytes;
    peakBytes[i] = Math.max(peakBytes[i], reservedBytes[i]);
  }

  /** Bytes that all accounts have reserved for this purpose. */
  public long reservedBytes(BufferPurpose purpose) {
    return reservedBytes[purpose.ordinal()];
  }

  /** The most bytes that were reserved for this purpose at one time. */
  public long peakBytes(BufferPurpose purpose) {
    return peakBytes[purpose.ordinal()];
  }

  /** The bound for this purpose in bytes; {@code Long.MAX_VALUE}: none. */
  public long maxBytes(BufferPurpose purpose) {
    return maxBytes[purpose.ordinal()];
  }

  /**
   * The highest utilization of a bounded purpose, from 0; above 1 where bytes that had been
   * received already exceed the bound. Streaming is left out: it fills its capacity on purpose, and
   * its upstream servers wait for it.
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

  /** The reserved bytes by {@link BufferPurpose#logName()}, for the log. */
  public Map<String, Long> reservedByLogName() {
    return byLogName(reservedBytes);
  }

  /** The peaks, which need not be of the same time, by {@link BufferPurpose#logName()}. */
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
