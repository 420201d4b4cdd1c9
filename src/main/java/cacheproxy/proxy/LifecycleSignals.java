package cacheproxy.proxy;

import java.util.function.Consumer;

/**
 * Coordinates signals with the start-up of the proxy. A process that is terminated before it
 * listens may end at once, because no client has connected; after that, it must wait for the end of
 * the start-up to answer the clients that it has accepted.
 *
 * @param <T> the type of the running proxy
 */
final class LifecycleSignals<T> {
  private T running;
  private boolean listening;
  private boolean startEnded;
  private boolean terminating;
  private boolean reloadPending;

  /** Marks the proxy as listening and returns true, unless termination was requested before. */
  synchronized boolean tryListen() {
    listening = !terminating;
    return listening;
  }

  /**
   * Completes the start-up and handles a reload that was requested in the meantime.
   *
   * @param started the running proxy; null if the start-up failed
   * @param reload reloads the configuration
   */
  synchronized void startCompleted(T started, Consumer<T> reload) {
    running = started;
    startEnded = true;
    notifyAll();
    if (reloadPending && started != null) {
      reload.accept(started);
    }
  }

  /** Reloads the configuration at once, or as soon as the start-up is complete. */
  synchronized void reloadRequested(Consumer<T> reload) {
    reloadPending = true;
    if (running != null) {
      reload.accept(running);
    }
  }

  /**
   * Requests termination and waits for the end of a start-up that is already listening. Returns the
   * proxy to drain; null if it did not listen or failed to start.
   */
  synchronized T terminationRequested() {
    terminating = true;
    while (listening && !startEnded) {
      try {
        wait();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return null;
      }
    }
    return running;
  }
}
