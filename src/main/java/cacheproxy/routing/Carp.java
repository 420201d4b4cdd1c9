package cacheproxy.routing;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Hash functions, load factors and scores of CARP v1.0 (draft-vinod-carp-v1-03, sections 3.1 to
 * 3.4).
 */
public final class Carp {
  private static final int KEY_DIGITS = 16;
  private static final int ID_DIGITS = 8;
  private static final int HASH_FACTOR = 0x62531965;
  private static final long UNSIGNED_MASK = 0xFFFFFFFFL;
  private static final double UNSIGNED_RANGE = 4294967296.0;

  private Carp() {}

  /** Section 3.1: hash of a key in its text form of 16 lower-case hexadecimal digits. */
  public static int keyHash(long key) {
    return textHash(key, KEY_DIGITS);
  }

  /**
   * Section 3.1: hash of a member by its id in the text form of 8 lower-case hexadecimal digits.
   */
  public static int memberHash(int id) {
    return spread(textHash(Integer.toUnsignedLong(id), ID_DIGITS));
  }

  private static int textHash(long value, int digits) {
    int hash = 0;
    for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4) {
      hash += Integer.rotateLeft(hash, 19) + Character.forDigit((int) (value >>> shift) & 15, 16);
    }
    return hash;
  }

  private static int spread(int hash) {
    return Integer.rotateLeft(hash + hash * HASH_FACTOR, 21);
  }

  /**
   * Section 3.2: combines both hashes into an unsigned number. Deviation from the draft: its two
   * mixing steps run twice. After one pass the top ten bits depend on only ten bits of the XOR, and
   * in a fleet of 120 equal members one member gets 2.2 times its share of the keys.
   */
  public static int combine(int keyHash, int memberHash) {
    return spread(spread(keyHash ^ memberHash));
  }

  /** Sections 3.3 and 3.4: score of a member for a key. */
  public static double score(int keyHash, int memberHash, float multiplier) {
    return (combine(keyHash, memberHash) & UNSIGNED_MASK) * (double) multiplier;
  }

  /**
   * Section 3.3: returns the load factor multipliers, in the order of the weights. If all weights
   * are zero, members are treated as equal. The running product is kept as a logarithm so that it
   * does not underflow with hundreds of members. A share difference that rounding makes negative is
   * taken as zero.
   */
  public static float[] multipliers(float[] weights) {
    int count = weights.length;
    double sum = 0;
    for (float weight : weights) {
      sum += weight;
    }
    Integer[] ascending = IntStream.range(0, count).boxed().toArray(Integer[]::new);
    Arrays.sort(ascending, (a, b) -> Float.compare(weights[a], weights[b]));
    float[] multipliers = new float[count];
    double previousShare = 0;
    double logProduct = 0;
    double logMultiplier = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < count; i++) {
      int left = count - i;
      double share = sum > 0 ? weights[ascending[i]] / sum : 1.0 / count;
      double step = left * Math.max(0, share - previousShare);
      double added = step > 0 ? Math.exp(Math.log(step) - logProduct) : 0;
      double power = added + Math.exp(left * logMultiplier);
      logMultiplier = Math.log(power) / left;
      multipliers[ascending[i]] = (float) Math.exp(logMultiplier);
      if (power > 0) {
        logProduct += logMultiplier;
      }
      previousShare = share;
    }
    return multipliers;
  }

  /**
   * Pseudo-random number in [0, 1), determined by the key and the member and independent of their
   * CARP score.
   */
  public static double keyDraw(int keyHash, int memberHash) {
    int hash = keyHash * 0x9E3779B1 + memberHash;
    hash = (hash ^ (hash >>> 16)) * 0x85EBCA6B;
    hash = (hash ^ (hash >>> 13)) * 0xC2B2AE35;
    return ((hash ^ (hash >>> 16)) & UNSIGNED_MASK) / UNSIGNED_RANGE;
  }
}
