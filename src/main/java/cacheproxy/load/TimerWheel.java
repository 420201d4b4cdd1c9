package cacheproxy.load;

import java.util.ArrayList;
import java.util.List;

/**
 * Timers in slots of a millisecond: what a hundred thousand open requests need costs nothing but a
 * list's entry each. No clock of its own. A task runs in the first {@link #turn} from its time on,
 * never before; one that is called off is looked at then and left.
 */
final class TimerWheel {
  /** What lies further ahead goes round again. */
  private static final int SLOTS = 4096;

  /** A timer; run at most once. */
  static final class Timer {
    private final long atMs;
    private Runnable task;

    Timer(long atMs, Runnable task) {
      this.atMs = atMs;
      this.task = task;
    }

    void stop() {
      task = null;
    }
  }

  private final List<List<Timer>> slots = new ArrayList<>();
  private long turnedMs;

  TimerWheel(double nowMs) {
    for (int i = 0; i < SLOTS; i++) {
      slots.add(new ArrayList<>(0));
    }
    turnedMs = (long) Math.floor(nowMs);
  }

  Timer at(double ms, Runnable task) {
    Timer timer = new Timer(Math.max(turnedMs + 1, (long) Math.ceil(ms)), task);
    slot(timer.atMs).add(timer);
    return timer;
  }

  private List<Timer> slot(long ms) {
    return slots.get((int) (ms & SLOTS - 1));
  }

  /** Runs all that is due by now. */
  void turn(double nowMs) {
    long now = (long) Math.floor(nowMs);
    while (turnedMs < now) {
      turnedMs++;
      List<Timer> due = slot(turnedMs);
      if (due.isEmpty()) {
        continue;
      }
      List<Timer> all = List.copyOf(due);
      due.clear();
      for (Timer t : all) {
        if (t.atMs > turnedMs) {
          if (t.task != null) {
            due.add(t);
          }
        } else if (t.task != null) {
          Runnable task = t.task;
          t.task = null;
          task.run();
        }
      }
    }
  }
}
