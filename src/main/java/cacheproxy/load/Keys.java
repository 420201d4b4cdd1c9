package cacheproxy.load;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.SplittableRandom;

/**
 * Which key is asked for: by Zipf's law over so many, and a hot one besides for as long as it is.
 * With a drift the ranks pass on from key to key, so that what is popular now was not some time
 * ago. Strictly by the seed.
 */
public final class Keys {
  /** A table of so many sums is 8 MB. */
  public static final int MOST = 1_000_000;

  /**
   * @param part of all requests that are for the hot key, from 0 to 1
   * @param fromMs,untilMs when it is hot
   */
  public record Hot(double part, double fromMs, double untilMs) {
    public static final Hot NONE = new Hot(0, 0, 0);
  }

  private final double[] upTo;
  private final double driftPerMs;
  private final Hot hot;
  private final SplittableRandom random;

  /**
   * @param count of keys, from 1 to {@link #MOST}
   * @param exponent of Zipf's law, from 0 (all alike)
   * @param driftPerS so many ranks pass on in a second
   */
  public Keys(int count, double exponent, double driftPerS, Hot hot, long seed) {
    if (count < 1 || count > MOST || !(exponent >= 0) || !(driftPerS >= 0)) {
      throw new IllegalArgumentException(
          count + " keys, exponent " + exponent + ", drift " + driftPerS);
    }
    upTo = new double[count];
    double sum = 0;
    for (int r = 0; r < count; r++) {
      upTo[r] = sum += Math.pow(r + 1, -exponent);
    }
    driftPerMs = driftPerS / 1000;
    this.hot = hot;
    random = new SplittableRandom(seed);
  }

  /** The key that a request due then asks for: 16 hexadecimal digits. */
  public String next(double atMs) {
    if (atMs >= hot.fromMs() && atMs < hot.untilMs() && random.nextDouble() < hot.part()) {
      return name(-1);
    }
    double x = random.nextDouble() * upTo[upTo.length - 1];
    int found = Arrays.binarySearch(upTo, x);
    int rank = Math.min(upTo.length - 1, found < 0 ? -found - 1 : found + 1);
    return name((rank + (long) (atMs * driftPerMs)) % upTo.length);
  }

  /** The key of this rank before any drift; 0: the most popular. */
  public static String ofRank(int rank) {
    return name(rank);
  }

  /** Spread over all 64 bits, as hashes that work on few bits are to show. */
  private static String name(long index) {
    long z = (index + 1) * 0x9E3779B97F4A7C15L;
    z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
    return HexFormat.of().toHexDigits(z ^ z >>> 27);
  }
}
