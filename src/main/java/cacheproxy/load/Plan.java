package cacheproxy.load;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/**
 * All that will be asked, one after the other as it is due, drawn from one seed with a stream of
 * its own for each purpose: another mix does not move the times, another target does not change the
 * keys.
 */
public final class Plan implements Iterator<PlannedRequest> {
  /**
   * One target that takes more than its part for a while: a proxy that is overtaken by traffic.
   *
   * @param part of all requests that go there, from 0 to 1, besides its even part of the rest
   */
  public record Overtaken(int target, double part, double fromMs, double untilMs) {
    public static final Overtaken NONE = new Overtaken(0, 0, 0, 0);
  }

  private final List<Kind> kinds;
  private final Arrivals arrivals;
  private final Keys keys;
  private final int targets;
  private final Overtaken overtaken;
  private final double untilMs;
  private final int valueBytes;
  private final SplittableRandom mix;
  private final SplittableRandom places;
  private final double shares;
  private long number;
  private double nextMs;

  /**
   * @param untilMs nothing is due from then on
   */
  public Plan(
      List<Kind> kinds,
      Arrivals arrivals,
      Keys keys,
      int targets,
      Overtaken overtaken,
      int valueBytes,
      double untilMs,
      long seed) {
    this.kinds = List.copyOf(kinds);
    this.arrivals = arrivals;
    this.keys = keys;
    this.targets = targets;
    this.overtaken = overtaken;
    this.untilMs = untilMs;
    this.valueBytes = valueBytes;
    SplittableRandom streams = new SplittableRandom(seed);
    mix = streams.split();
    places = streams.split();
    shares = kinds.stream().mapToDouble(Kind::share).sum();
    nextMs = arrivals.next();
  }

  @Override
  public boolean hasNext() {
    return nextMs < untilMs;
  }

  @Override
  public PlannedRequest next() {
    if (!hasNext()) {
      throw new NoSuchElementException();
    }
    double at = nextMs;
    nextMs = arrivals.next();
    int kind = kind();
    double lot = places.nextDouble();
    int target = (int) (places.nextDouble() * targets);
    if (at >= overtaken.fromMs() && at < overtaken.untilMs() && lot < overtaken.part()) {
      target = overtaken.target();
    }
    return new PlannedRequest(
        number++, at, kind, keys.next(at), target, kinds.get(kind).write() ? valueBytes : 0);
  }

  private int kind() {
    double x = mix.nextDouble() * shares;
    for (int k = 0; k < kinds.size() - 1; k++) {
      x -= kinds.get(k).share();
      if (x < 0) {
        return k;
      }
    }
    return kinds.size() - 1;
  }
}
