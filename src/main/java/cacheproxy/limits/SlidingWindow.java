package cacheproxy.limits;

import java.util.Arrays;

/**
 * Sums amounts over a sliding time window. The window consists of a fixed number of slots, so
 * results are exact to one slot, memory use is constant and no timer is needed. Times are in
 * milliseconds and must all come from the same clock; a time before the latest one counts as the
 * latest one. Does not allocate memory after its construction.
 */
final class SlidingWindow {
  private static final int SLOTS = 10;
  private static final double MS_PER_SECOND = 1000;

  private final double slotMs;
  private final double[] slots = new double[SLOTS];
  private long currentSlot;
  private boolean started;

  /**
   * Creates an empty window.
   *
   * @param lengthMs the window's length in milliseconds, more than 0
   * @throws IllegalArgumentException if the length is not positive
   */
  SlidingWindow(double lengthMs) {
    if (!(lengthMs > 0)) {
      throw new IllegalArgumentException("window length must be positive, got " + lengthMs + " ms");
    }
    slotMs = lengthMs / SLOTS;
  }

  /** Adds an amount to the current slot. */
  void add(double nowMs, double amount) {
    advanceTo(nowMs);
    slots[index(currentSlot)] += amount;
  }

  /**
   * Sets the current slot to {@code value} if that is greater. A window is used either with this
   * method or with {@link #add}, never with both.
   */
  void raiseTo(double nowMs, double value) {
    advanceTo(nowMs);
    int i = index(currentSlot);
    slots[i] = Math.max(slots[i], value);
  }

  /** Returns the sum over the window, including the current slot. */
  double sum(double nowMs) {
    advanceTo(nowMs);
    double sum = 0;
    for (double slot : slots) {
      sum += slot;
    }
    return sum;
  }

  /**
   * Returns the greatest value of a slot in the window, including the current slot; 0 for an empty
   * window.
   */
  double max(double nowMs) {
    advanceTo(nowMs);
    double max = 0;
    for (double slot : slots) {
      max = Math.max(max, slot);
    }
    return max;
  }

  /** Returns the sum over the window as a rate per second. */
  double perSecond(double nowMs) {
    return sum(nowMs) * MS_PER_SECOND / (slotMs * SLOTS);
  }

  private void advanceTo(double nowMs) {
    long slot = (long) Math.floor(nowMs / slotMs);
    if (!started) {
      started = true;
      currentSlot = slot;
    }
    if (slot - currentSlot >= SLOTS) {
      Arrays.fill(slots, 0);
      currentSlot = slot;
    }
    while (currentSlot < slot) {
      currentSlot++;
      slots[index(currentSlot)] = 0;
    }
  }

  private static int index(long slot) {
    return Math.floorMod(slot, SLOTS);
  }
}
