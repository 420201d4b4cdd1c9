package cacheproxy.limits;

/**
 * How late the event loop comes to what is due: the most of the last second, from a tick that is
 * asked for at a fixed distance. One late tick counts for a second and not longer; a loop that is
 * late all the time stays so.
 */
public final class LoopLag {
  /**
   * A tick this late takes the whole of the loop's room: what waits by then has waited in every
   * queue as well.
   */
  static final double FULL_MS = 250;

  private static final int SLOTS = 10;
  private static final double SLOT_MS = 100;

  private final double[] slots = new double[SLOTS];
  private long at;

  /** A tick that was due then has run now. */
  public void ticked(double dueMs, double nowMs) {
    move(nowMs);
    double late = Math.max(0, nowMs - dueMs);
    int i = (int) (at % SLOTS);
    slots[i] = Math.max(slots[i], late);
  }

  /** The greatest lateness within the last second, in milliseconds. */
  public double lateMs(double nowMs) {
    move(nowMs);
    double late = 0;
    for (double s : slots) {
      late = Math.max(late, s);
    }
    return late;
  }

  /** The part of the loop's room that is taken. */
  public double share(double nowMs) {
    return lateMs(nowMs) / FULL_MS;
  }

  private void move(double nowMs) {
    long slot = (long) Math.floor(nowMs / SLOT_MS);
    if (slot - at >= SLOTS) {
      java.util.Arrays.fill(slots, 0);
      at = slot;
    }
    while (at < slot) {
      at++;
      slots[(int) (at % SLOTS)] = 0;
    }
  }
}
