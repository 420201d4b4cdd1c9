package cacheproxy.limits;

import java.util.EnumMap;
import java.util.Map;

/** All accounts with the sums of what they hold and the bounds on these sums. */
public final class ByteAccounts {
  private final long[] bounds = new long[BufferPurpose.values().length];
  private final long[] sums = new long[bounds.length];
  private final long[] most = new long[bounds.length];

  /**
   * @param bounds the most that all together may hold, in bytes; a kind that is not named has no
   *     bound
   */
  public ByteAccounts(Map<BufferPurpose, Long> bounds) {
    for (BufferPurpose h : BufferPurpose.values()) {
      long bound = bounds.getOrDefault(h, Long.MAX_VALUE);
      if (bound <= 0) {
        throw new IllegalArgumentException(h + ": a bound of " + bound + " bytes");
      }
      this.bounds[h.ordinal()] = bound;
    }
  }

  /** An account for a peer that has come. */
  public ByteAccount open() {
    return new ByteAccount(this);
  }

  /** Whether so much more may be held. */
  public boolean room(BufferPurpose kind, long bytes) {
    return sums[kind.ordinal()] + bytes <= bounds[kind.ordinal()];
  }

  void add(BufferPurpose kind, long bytes) {
    int i = kind.ordinal();
    sums[i] += bytes;
    most[i] = Math.max(most[i], sums[i]);
  }

  public long held(BufferPurpose kind) {
    return sums[kind.ordinal()];
  }

  /** The most that was held at one time, in bytes. */
  public long most(BufferPurpose kind) {
    return most[kind.ordinal()];
  }

  public long bound(BufferPurpose kind) {
    return bounds[kind.ordinal()];
  }

  /**
   * The fullest kind's part of its bound, from 0; over 1 where what had come already was charged.
   * Without what is being passed on: that fills its room on purpose, and its servers wait for it.
   */
  public double share() {
    double share = 0;
    for (int i = 0; i < sums.length; i++) {
      if (bounds[i] != Long.MAX_VALUE && i != BufferPurpose.PASSING.ordinal()) {
        share = Math.max(share, (double) sums[i] / bounds[i]);
      }
    }
    return share;
  }

  /** What is held, by kind, for the log. */
  public Map<BufferPurpose, Long> sums() {
    return byKind(sums);
  }

  /** The most that was held of each kind, not at the same time. */
  public Map<BufferPurpose, Long> mosts() {
    return byKind(most);
  }

  private static Map<BufferPurpose, Long> byKind(long[] bytes) {
    Map<BufferPurpose, Long> all = new EnumMap<>(BufferPurpose.class);
    for (BufferPurpose h : BufferPurpose.values()) {
      all.put(h, bytes[h.ordinal()]);
    }
    return all;
  }
}
