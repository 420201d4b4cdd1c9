package cacheproxy.load;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.SplittableRandom;

/**
 * Draws the key of each request from a Zipf distribution, with an optional hot key during a time
 * window. With a drift, popularity ranks move from key to key, so that the set of popular keys
 * changes over time. Equal seeds give equal keys.
 */
public final class KeyDistribution {
  /** Limits the table of cumulative weights to 8 MB. */
  public static final int MAX_KEYS = 1_000_000;

  /**
   * @param share fraction of all requests that use the hot key, from 0 to 1
   * @param fromMs start of the time window
   * @param untilMs end of the time window
   */
  public record HotKey(double share, double fromMs, double untilMs) {
    public static final HotKey NONE = new HotKey(0, 0, 0);
  }

  private final double[] cumulativeWeights;
  private final double driftPerMs;
  private final HotKey hotKey;
  private final SplittableRandom random;

  /**
   * @param count number of keys, from 1 to {@link #MAX_KEYS}
   * @param exponent exponent of the Zipf distribution, at least 0; 0 makes all keys equally likely
   * @param driftPerSecond number of ranks per second by which the ranking shifts across the keys
   */
  public KeyDistribution(
      int count, double exponent, double driftPerSecond, HotKey hotKey, long seed) {
    if (count < 1 || count > MAX_KEYS || !(exponent >= 0) || !(driftPerSecond >= 0)) {
      throw new IllegalArgumentException(
          count
              + " keys (1 to 1000000 allowed), Zipf exponent (at least 0 allowed) "
              + exponent
              + ", drift per second (at least 0 allowed) "
              + driftPerSecond);
    }
    cumulativeWeights = new double[count];
    double sum = 0;
    for (int rank = 0; rank < count; rank++) {
      cumulativeWeights[rank] = sum += Math.pow(rank + 1, -exponent);
    }
    driftPerMs = driftPerSecond / 1000;
    this.hotKey = hotKey;
    random = new SplittableRandom(seed);
  }

  /** Draws the key of a request that is due at this time. A key has 16 hexadecimal digits. */
  public String nextKey(double atMs) {
    if (atMs >= hotKey.fromMs()
        && atMs < hotKey.untilMs()
        && random.nextDouble() < hotKey.share()) {
      return keyName(-1);
    }
    double draw = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
    int found = Arrays.binarySearch(cumulativeWeights, draw);
    int rank = Math.min(cumulativeWeights.length - 1, found < 0 ? -found - 1 : found + 1);
    return keyName((rank + (long) (atMs * driftPerMs)) % cumulativeWeights.length);
  }

  /** The key of this rank without drift. Rank 0 is the most popular key. */
  public static String keyOfRank(int rank) {
    return keyName(rank);
  }

  /**
   * Mixes the index into all 64 bits, so that a proxy whose hash uses only a few bits of the key
   * would show an uneven load.
   */
  private static String keyName(long index) {
    long bits = (index + 1) * 0x9E3779B97F4A7C15L;
    bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
    return HexFormat.of().toHexDigits(bits ^ bits >>> 27);
  }
}
