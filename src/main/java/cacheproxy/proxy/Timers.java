package cacheproxy.proxy;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Timers of requests and attempts with a resolution of one tick. Timers of one tick run together,
 * in the order in which they were set, up to a tick late and never early. Netty's event loop polls
 * without blocking while its next timer is less than half a millisecond away; with thousands of
 * timers per second this would use a whole core. The cost is that nothing can be timed more finely
 * than a tick.
 */
final class Timers {
  /** The length of a tick: the most that a timer is late while the event loop itself is on time. */
  static final int TICK_MS = 4;

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(TICK_MS);

  private final EventLoop loop;
  private final long start = System.nanoTime();
  private final TreeMap<Long, Set<Timer>> ticks = new TreeMap<>();

  /** The tick for which a wake-up is scheduled; the greatest value if there is none. */
  private long nextWakeTick = Long.MAX_VALUE;

  /** A timer that runs once unless it is stopped before. */
  static final class Timer {
    private final Timers owner;
    private final long tick;
    private Runnable task;

    private Timer(Timers owner, long tick, Runnable task) {
      this.owner = owner;
      this.tick = tick;
      this.task = task;
    }

    /** Stops the timer, which then takes no memory until it would have run. */
    void stop() {
      task = null;
      owner.remove(this);
    }
  }

  Timers(EventLoop loop) {
    this.loop = loop;
  }

  Timer after(double ms, Runnable task) {
    double due = System.nanoTime() - start + Math.max(0, ms) * 1e6;
    long tick = (long) Math.ceil(due / TICK_NANOS);
    Timer timer = new Timer(this, tick, task);
    ticks.computeIfAbsent(tick, t -> new LinkedHashSet<>()).add(timer);
    scheduleWake(tick);
    return timer;
  }

  /** The number of timers that have not run and are not stopped. */
  int pending() {
    return ticks.values().stream().mapToInt(Set::size).sum();
  }

  private void remove(Timer timer) {
    Set<Timer> sameTick = ticks.get(timer.tick);
    if (sameTick != null && sameTick.remove(timer) && sameTick.isEmpty()) {
      ticks.remove(timer.tick);
    }
  }

  private void scheduleWake(long tick) {
    if (tick < nextWakeTick) {
      nextWakeTick = tick;
      long wait = start + tick * TICK_NANOS - System.nanoTime();
      loop.schedule(() -> run(tick), Math.max(0, wait), TimeUnit.NANOSECONDS);
    }
  }

  private void run(long tick) {
    if (tick != nextWakeTick) {
      return; // an earlier tick was scheduled since and has rescheduled this one
    }
    long now = System.nanoTime() - start;
    for (Map.Entry<Long, Set<Timer>> entry;
        (entry = ticks.firstEntry()) != null && entry.getKey() * TICK_NANOS <= now; ) {
      ticks.remove(entry.getKey());
      for (Timer timer : List.copyOf(entry.getValue())) { // a task may stop another timer
        Runnable task = timer.task;
        timer.task = null;
        if (task != null) {
          task.run();
        }
      }
    }
    nextWakeTick = Long.MAX_VALUE;
    if (!ticks.isEmpty()) {
      scheduleWake(ticks.firstKey());
    }
  }
}
