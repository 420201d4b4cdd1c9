package cacheproxy.limits;

import java.util.Arrays;

/**
 * Amounts over a sliding window that is divided into slots: exact to one slot, of constant size and
 * without a timer. A gap longer than the window empties it. Times are in milliseconds on any one
 * clock; a time before the latest one counts as the latest one. Allocates nothing after its
 * construction.
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
      throw new IllegalArgumentException("window of " + lengthMs + " ms");
    }
    slotMs = lengthMs / SLOTS;
  }

  /** Adds an amount at this time. */
  void add(double nowMs, double amount) {
    advanceTo(nowMs);
    slots[index(currentSlot)] += amount;
  }

  /** Raises the current slot to this value if it is lower. Not mixed with {@link #add}. */
  void raiseTo(double nowMs, double value) {
    advanceTo(nowMs);
    int i = index(currentSlot);
    slots[i] = Math.max(slots[i], value);
  }

  /** The sum over the window, including the slot under way. */
  double sum(double nowMs) {
    advanceTo(nowMs);
    double sum = 0;
    for (double slot : slots) {
      sum += slot;
    }
    return sum;
  }

  /** The greatest slot of the window, including the slot under way; 0 for an empty window. */
  double max(double nowMs) {
    advanceTo(nowMs);
    double max = 0;
    for (double slot : slots) {
      max = Math.max(max, slot);
    }
    return max;
  }

  /** The window's sum as a rate per second. */
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
