package cacheproxy.fleet;

import java.util.SplittableRandom;

/**
 * Decides what happens to each datagram between two proxies: it may be lost, delayed, duplicated,
 * reordered or blocked. Each direction of a pair is a link of its own. The class uses neither
 * sockets nor clocks, and the same seed gives the same decisions. Not thread-safe.
 */
public final class LinkFaults {
  /**
   * Quality of all links.
   *
   * @param lossRate share of the datagrams that is lost, 0 to 1
   * @param minimumDelayMs least delay of a datagram
   * @param meanExtraDelayMs mean of an exponentially distributed delay that is added to {@code
   *     minimumDelayMs}, so that datagrams can overtake each other
   * @param duplicateRate share of the arriving datagrams that arrives a second time, with a delay
   *     of its own, 0 to 1
   */
  public record Quality(
      double lossRate, double minimumDelayMs, double meanExtraDelayMs, double duplicateRate) {
    public static final Quality NO_FAULTS = new Quality(0, 0, 0, 0);

    public Quality {
      if (!(lossRate >= 0
          && lossRate <= 1
          && minimumDelayMs >= 0
          && meanExtraDelayMs >= 0
          && duplicateRate >= 0
          && duplicateRate <= 1)) {
        throw new IllegalArgumentException(
            "loss "
                + lossRate
                + ", delay "
                + minimumDelayMs
                + " and "
                + meanExtraDelayMs
                + " ms, twice "
                + duplicateRate);
      }
    }
  }

  private final int proxies;
  private final SplittableRandom random;
  private final boolean[] blocked;
  private final long[] sent;
  private final long[] lost;
  private final long[] bytesSent;
  private Quality quality = Quality.NO_FAULTS;

  public LinkFaults(int proxies, long seed) {
    this.proxies = proxies;
    random = new SplittableRandom(seed);
    blocked = new boolean[proxies * proxies];
    sent = new long[proxies * proxies];
    lost = new long[proxies * proxies];
    bytesSent = new long[proxies];
  }

  public void setQuality(Quality newQuality) {
    quality = newQuality;
  }

  /**
   * Blocks or unblocks the link from one proxy to another. The opposite direction is not changed.
   */
  public void setBlocked(int from, int to, boolean isBlocked) {
    blocked[from * proxies + to] = isBlocked;
  }

  public void unblockAll() {
    java.util.Arrays.fill(blocked, false);
  }

  /**
   * Draws what happens to one datagram and returns its arrival delays in milliseconds: two delays
   * if it is duplicated, and none if it is lost or the link is blocked.
   */
  public double[] arrivalDelaysMs(int from, int to, int length) {
    int link = from * proxies + to;
    sent[link]++;
    bytesSent[from] += length;
    if (blocked[link] || random.nextDouble() < quality.lossRate) {
      lost[link]++;
      return new double[0];
    }
    double[] at = new double[random.nextDouble() < quality.duplicateRate ? 2 : 1];
    for (int i = 0; i < at.length; i++) {
      at[i] = quality.minimumDelayMs - quality.meanExtraDelayMs * Math.log(1 - random.nextDouble());
    }
    return at;
  }

  public long sent(int from, int to) {
    return sent[from * proxies + to];
  }

  public long lost(int from, int to) {
    return lost[from * proxies + to];
  }

  /** Number of bytes that this proxy has sent to others. */
  public long bytesSent(int from) {
    return bytesSent[from];
  }

  public long datagramsSent(int from) {
    long all = 0;
    for (int to = 0; to < proxies; to++) {
      all += sent[from * proxies + to];
    }
    return all;
  }
}
