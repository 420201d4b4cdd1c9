package cacheproxy.proxy;

import cacheproxy.admin.ListenerTakeover;
import cacheproxy.admin.ProcessStatus;
import cacheproxy.routing.RoutingApi.ServiceClass;
import cacheproxy.routing.RoutingApi.Settings;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The graceful shutdown of a proxy: accepts connections for as long as new ones may still arrive,
 * answers all requests and closes each connection between requests. Confined to the event loop but
 * for {@link #awaitCompletion}.
 */
final class GracefulShutdown {
  private static final long STEP_INTERVAL_MS = 20;

  /** Allows for answers that are given at their deadline and still have to be written. */
  private static final double ANSWER_SLACK_MS = 150;

  /** How much longer than a drain a long value may take that is still being written. */
  private static final double MAX_STREAM_DRAIN_MS = 30_000;

  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final ConnectionAdmission connectionAdmission;
  private final Listener listener;
  private final Supplier<ProcessStatus> otherProcess;
  private final double longestDeadlineMs;
  private final CountDownLatch completed = new CountDownLatch(1);
  private double startMs;
  private double idleEndsMs = Double.POSITIVE_INFINITY;
  private double drainEndsMs = Double.POSITIVE_INFINITY;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param otherProcess the status of another process of this proxy, which may change meanwhile
   * @param longestDeadlineMs the longest deadline of any service class, in milliseconds
   */
  GracefulShutdown(
      EventLoop loop,
      Dispatcher dispatcher,
      ConnectionAdmission connectionAdmission,
      Listener listener,
      Supplier<ProcessStatus> otherProcess,
      double longestDeadlineMs) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.connectionAdmission = connectionAdmission;
    this.listener = listener;
    this.otherProcess = otherProcess;
    this.longestDeadlineMs = longestDeadlineMs;
  }

  /** The longest deadline of any service class, in milliseconds. */
  static double longestDeadlineMs(Settings settings) {
    return settings.classes().stream().mapToDouble(ServiceClass::deadlineMs).max().orElse(0);
  }

  /** Begins the shutdown. */
  void start() {
    startMs = dispatcher.now();
    dispatcher.capDeadlines(startMs + ListenerTakeover.answerWithinMs(longestDeadlineMs));
    proceed();
  }

  /**
   * Waits until no connection is left, or no answer could meet its deadline any more. Returns early
   * if the thread is interrupted.
   */
  void awaitCompletion() {
    try {
      completed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void proceed() {
    double now = dispatcher.now();
    ProcessStatus other = otherProcess.get();
    boolean accepting = ListenerTakeover.acceptsConnections(now - startMs, other);
    if (!dispatcher.draining() && (other.serving() || !accepting)) {
      dispatcher.drain(now, ListenerTakeover.drainSpreadMs(other));
      idleEndsMs = now + ListenerTakeover.idleGraceMs(other);
      drainEndsMs =
          idleEndsMs + ListenerTakeover.cappedDeadlineMs(longestDeadlineMs) + ANSWER_SLACK_MS;
    }
    if (!accepting && listener.isOpen()) {
      listener.acceptBacklogAndClose(Proxy.BACKLOG / ConnectionAdmission.maxAcceptsPerRound());
    }
    if (now >= idleEndsMs) {
      closeIdleConnections();
      if (isComplete(now)) {
        completed.countDown();
        return;
      }
    }
    loop.schedule(this::proceed, STEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Closes idle connections; a request that has arrived meanwhile is answered first. */
  private void closeIdleConnections() {
    for (ClientConnection client : new ArrayList<>(connectionAdmission.clients())) {
      if (client.isIdle() && !client.readAvailableInput()) {
        client.finish();
      }
    }
  }

  private boolean isComplete(double now) {
    if (connectionAdmission.clients().isEmpty() && !listener.isOpen()) {
      return true;
    }
    return now >= drainEndsMs + MAX_STREAM_DRAIN_MS
        || now >= drainEndsMs && !isAnyClientOwedAnswer();
  }

  /** At the end of the drain all deadlines are over; what is left are long values on their way. */
  private boolean isAnyClientOwedAnswer() {
    return connectionAdmission.clients().stream().anyMatch(ClientConnection::isOwedAnswer);
  }
}
