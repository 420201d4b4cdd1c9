package cacheproxy.load;

import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;

/**
 * The requests of a load in the order in which they are due. Arrival times, keys, classes and
 * targets come from separate random streams, so that a change to one does not change the others.
 */
public final class RequestPlan implements Iterator<PlannedRequest> {
  /**
   * A target that receives more than an even share of the requests during a time window.
   *
   * @param share fraction of all requests that always go to this target, from 0 to 1; it also
   *     receives its even share of the rest
   */
  public record HotTarget(int target, double share, double fromMs, double untilMs) {
    public static final HotTarget NONE = new HotTarget(0, 0, 0, 0);
  }

  private final List<RequestClass> requestClasses;
  private final ArrivalProcess arrivals;
  private final KeyDistribution keys;
  private final int targets;
  private final HotTarget hotTarget;
  private final double untilMs;
  private final int valueBytes;
  private final SplittableRandom classRandom;
  private final SplittableRandom targetRandom;
  private final double totalShare;
  private long nextNumber;
  private double nextDueMs;

  /**
   * @param untilMs end of the plan; no request is due at or after this time
   */
  public RequestPlan(
      List<RequestClass> requestClasses,
      ArrivalProcess arrivals,
      KeyDistribution keys,
      int targets,
      HotTarget hotTarget,
      int valueBytes,
      double untilMs,
      long seed) {
    this.requestClasses = List.copyOf(requestClasses);
    this.arrivals = arrivals;
    this.keys = keys;
    this.targets = targets;
    this.hotTarget = hotTarget;
    this.untilMs = untilMs;
    this.valueBytes = valueBytes;
    SplittableRandom streams = new SplittableRandom(seed);
    classRandom = streams.split();
    targetRandom = streams.split();
    totalShare = requestClasses.stream().mapToDouble(RequestClass::share).sum();
    nextDueMs = arrivals.nextArrivalMs();
  }

  @Override
  public boolean hasNext() {
    return nextDueMs < untilMs;
  }

  @Override
  public PlannedRequest next() {
    if (!hasNext()) {
      throw new NoSuchElementException();
    }
    double dueMs = nextDueMs;
    nextDueMs = arrivals.nextArrivalMs();
    int classIndex = drawClass();
    double hotTargetDraw = targetRandom.nextDouble();
    int target = (int) (targetRandom.nextDouble() * targets);
    if (dueMs >= hotTarget.fromMs()
        && dueMs < hotTarget.untilMs()
        && hotTargetDraw < hotTarget.share()) {
      target = hotTarget.target();
    }
    return new PlannedRequest(
        nextNumber++,
        dueMs,
        classIndex,
        keys.nextKey(dueMs),
        target,
        requestClasses.get(classIndex).write() ? valueBytes : 0);
  }

  private int drawClass() {
    double draw = classRandom.nextDouble() * totalShare;
    for (int k = 0; k < requestClasses.size() - 1; k++) {
      draw -= requestClasses.get(k).share();
      if (draw < 0) {
        return k;
      }
    }
    return requestClasses.size() - 1;
  }
}
