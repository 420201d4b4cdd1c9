package cacheproxy.proxy.discovery;

/** The clock, timers and log of the proxy. Called on the proxy's event loop. */
public interface DiscoveryContext {
  /** A scheduled task. */
  interface Timer {
    /** Cancels the task; has no effect once the task has run. */
    void cancel();
  }

  /** Returns the Unix time in milliseconds; it never goes backwards. */
  double nowMs();

  /** Schedules a task on the event loop after this many milliseconds. */
  Timer schedule(double delayMs, Runnable task);

  /** Writes a line to the proxy's log. */
  void log(String line);
}
