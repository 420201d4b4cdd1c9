package cacheproxy.limits;

/**
 * Events over a sliding window, in slots: exact to a slot, of constant size and without a timer. A
 * gap longer than the window empties it.
 */
public final class Rate {
  private static final int SLOTS = 10;

  private final double slotMs;
  private final double[] slots = new double[SLOTS];
  private long at;
  private double sum;
  private boolean begun;

  /**
   * @param windowMs the window's length in milliseconds, more than 0
   */
  public Rate(double windowMs) {
    if (!(windowMs > 0)) {
      throw new IllegalArgumentException("a window of " + windowMs + " ms");
    }
    slotMs = windowMs / SLOTS;
  }

  /** Counts so much at this time; a time before the last one counts as the last one. */
  public void add(double nowMs, double amount) {
    move(nowMs);
    slots[(int) (at % SLOTS)] += amount;
    sum += amount;
  }

  /** What has come within the window, the slot that is under way among it. */
  public double sum(double nowMs) {
    move(nowMs);
    return sum;
  }

  /** What comes in a second, by the window's measure. */
  public double perSecond(double nowMs) {
    return sum(nowMs) * 1000 / (slotMs * SLOTS);
  }

  private void move(double nowMs) {
    long slot = (long) Math.floor(nowMs / slotMs);
    if (!begun) {
      begun = true;
      at = slot;
    }
    if (slot - at >= SLOTS) {
      java.util.Arrays.fill(slots, 0);
      sum = 0;
      at = slot;
    }
    while (at < slot) {
      at++;
      int i = (int) (at % SLOTS);
      sum -= slots[i];
      slots[i] = 0;
    }
  }
}
