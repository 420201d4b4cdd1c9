package cacheproxy.fleet;

import java.util.SplittableRandom;

/**
 * What becomes of a datagram on each way between two proxies: lost, late, doubled, overtaken by
 * later ones or cut, each direction by itself. Rules alone; the same seed decides the same. Not for
 * several threads.
 */
public final class LinkFaults {
  /**
   * @param loss part that does not arrive
   * @param delayMs on the mean, exponential about it on top of {@code leastMs}; so one may overtake
   *     another
   * @param twice part that arrives once more, as late again
   */
  public record Quality(double loss, double leastMs, double delayMs, double twice) {
    public static final Quality CLEAN = new Quality(0, 0, 0, 0);

    public Quality {
      if (!(loss >= 0 && loss <= 1 && leastMs >= 0 && delayMs >= 0 && twice >= 0 && twice <= 1)) {
        throw new IllegalArgumentException(
            "loss " + loss + ", delay " + leastMs + " and " + delayMs + " ms, twice " + twice);
      }
    }
  }

  private final int proxies;
  private final SplittableRandom lots;
  private final boolean[] cut;
  private final long[] sent;
  private final long[] lost;
  private final long[] bytes;
  private Quality quality = Quality.CLEAN;

  public LinkFaults(int proxies, long seed) {
    this.proxies = proxies;
    lots = new SplittableRandom(seed);
    cut = new boolean[proxies * proxies];
    sent = new long[proxies * proxies];
    lost = new long[proxies * proxies];
    bytes = new long[proxies];
  }

  public void quality(Quality of) {
    quality = of;
  }

  /** Cuts one direction, or opens it. */
  public void cut(int from, int to, boolean is) {
    cut[from * proxies + to] = is;
  }

  public void heal() {
    java.util.Arrays.fill(cut, false);
  }

  /** When a datagram arrives, in milliseconds from now, once or twice; empty: never. */
  public double[] arrivals(int from, int to, int length) {
    int way = from * proxies + to;
    sent[way]++;
    bytes[from] += length;
    if (cut[way] || lots.nextDouble() < quality.loss) {
      lost[way]++;
      return new double[0];
    }
    double[] at = new double[lots.nextDouble() < quality.twice ? 2 : 1];
    for (int i = 0; i < at.length; i++) {
      at[i] = quality.leastMs - quality.delayMs * Math.log(1 - lots.nextDouble());
    }
    return at;
  }

  public long sent(int from, int to) {
    return sent[from * proxies + to];
  }

  public long lost(int from, int to) {
    return lost[from * proxies + to];
  }

  /** All that this proxy has sent to others. */
  public long bytes(int from) {
    return bytes[from];
  }

  public long messages(int from) {
    long all = 0;
    for (int to = 0; to < proxies; to++) {
      all += sent[from * proxies + to];
    }
    return all;
  }
}
