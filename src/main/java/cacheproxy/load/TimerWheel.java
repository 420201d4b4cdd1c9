package cacheproxy.load;

import java.util.ArrayList;
import java.util.List;

/**
 * A timer wheel with slots of one millisecond, cheap enough for 100,000 requests in flight: each
 * timer costs one list entry. The caller supplies the time. A task runs in the first call of {@link
 * #advanceTo} at or after its time, never earlier. A cancelled timer stays in its slot until the
 * wheel reaches that slot.
 */
final class TimerWheel {
  /** Number of slots; a timer further ahead than this stays in its slot for another rotation. */
  private static final int SLOTS = 4096;

  /** A timer that runs its task at most once. */
  static final class Timer {
    private final long atMs;
    private Runnable task;

    Timer(long atMs, Runnable task) {
      this.atMs = atMs;
      this.task = task;
    }

    void cancel() {
      task = null;
    }
  }

  private final List<List<Timer>> slots = new ArrayList<>();
  private long advancedToMs;

  TimerWheel(double nowMs) {
    for (int i = 0; i < SLOTS; i++) {
      slots.add(new ArrayList<>(0));
    }
    advancedToMs = (long) Math.floor(nowMs);
  }

  Timer schedule(double ms, Runnable task) {
    Timer timer = new Timer(Math.max(advancedToMs + 1, (long) Math.ceil(ms)), task);
    slot(timer.atMs).add(timer);
    return timer;
  }

  private List<Timer> slot(long ms) {
    return slots.get((int) (ms & SLOTS - 1));
  }

  /** Runs all tasks that are due by this time. */
  void advanceTo(double nowMs) {
    long now = (long) Math.floor(nowMs);
    while (advancedToMs < now) {
      advancedToMs++;
      List<Timer> slot = slot(advancedToMs);
      if (slot.isEmpty()) {
        continue;
      }
      List<Timer> timers = List.copyOf(slot);
      slot.clear();
      for (Timer timer : timers) {
        if (timer.atMs > advancedToMs) {
          if (timer.task != null) {
            slot.add(timer);
          }
        } else if (timer.task != null) {
          Runnable task = timer.task;
          timer.task = null;
          task.run();
        }
      }
    }
  }
}
