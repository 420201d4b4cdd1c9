package cacheproxy.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The timers of requests and attempts, on a grid: those of one tick are run together, in the order
 * in which they were set, at most a tick late and never early. Guards against a loop that spins:
 * Netty's polls while its next timer is under half a millisecond away, and with some thousand
 * timers a second one always is, which takes the whole share of a core until the machine stops the
 * process for it. Harm: nothing here can be timed finer than a tick.
 */
final class Timers {
  /** The most that a timer is late while the loop is not. */
  static final int TICK_MS = 4;

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(TICK_MS);

  private final EventLoop loop;
  private final long start = System.nanoTime();
  private final TreeMap<Long, List<Timer>> ticks = new TreeMap<>();

  /** The tick for which the loop is to wake; none: the greatest. */
  private long wakesAt = Long.MAX_VALUE;

  /** One timer; run once unless it is stopped before. */
  static final class Timer {
    private Runnable task;

    private Timer(Runnable task) {
      this.task = task;
    }

    void stop() {
      task = null;
    }
  }

  Timers(EventLoop loop) {
    this.loop = loop;
  }

  Timer after(double ms, Runnable task) {
    Timer timer = new Timer(task);
    double due = System.nanoTime() - start + Math.max(0, ms) * 1e6;
    long tick = (long) Math.ceil(due / TICK_NANOS);
    ticks.computeIfAbsent(tick, t -> new ArrayList<>()).add(timer);
    wake(tick);
    return timer;
  }

  private void wake(long tick) {
    if (tick < wakesAt) {
      wakesAt = tick;
      long wait = start + tick * TICK_NANOS - System.nanoTime();
      loop.schedule(() -> run(tick), Math.max(0, wait), TimeUnit.NANOSECONDS);
    }
  }

  private void run(long tick) {
    if (tick != wakesAt) {
      return; // an earlier tick was set since, and has woken the loop for this one again
    }
    long now = System.nanoTime() - start;
    for (Map.Entry<Long, List<Timer>> e;
        (e = ticks.firstEntry()) != null && e.getKey() * TICK_NANOS <= now; ) {
      ticks.remove(e.getKey());
      for (Timer timer : e.getValue()) {
        Runnable task = timer.task;
        timer.task = null;
        if (task != null) {
          task.run();
        }
      }
    }
    wakesAt = Long.MAX_VALUE;
    if (!ticks.isEmpty()) {
      wake(ticks.firstKey());
    }
  }
}
