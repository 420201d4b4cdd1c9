package cacheproxy.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * One thread of the generator, with its own connections, results and part of the plan. Runs on a
 * single event loop.
 */
final class LoadWorker {
  /**
   * If the next request is due within this time, the event loop busy-waits, because the selector
   * cannot wait for less than 1 ms. This uses a full core above about 500 requests per second.
   */
  private static final double BUSY_WAIT_MS = 1.5;

  /** Maximum number of requests started in one tick, so that sockets are served in between. */
  private static final int MAX_SENDS_PER_TICK = 64;

  /**
   * Slack that the protocol allows for the transfer over sockets: an answer that arrives up to this
   * time after the attempt's timeout still counts as in time.
   */
  static final double SOCKET_SLACK_MS = 50;

  private static final int CONNECT_TIMEOUT_MS = 1000;

  /** A request from its start to its final outcome, across all its attempts. */
  private static final class InFlightRequest {
    final PlannedRequest planned;
    final RequestClass requestClass;
    final double clientDraw;
    final String idempotencyKey;
    int attempts;
    boolean resent;
    String attemptId;
    TimerWheel.Timer timer;

    InFlightRequest(PlannedRequest planned, RequestClass requestClass, SplittableRandom random) {
      this.planned = planned;
      this.requestClass = requestClass;
      clientDraw = random.nextDouble();
      idempotencyKey =
          requestClass.hasIdempotencyKey() ? HexFormat.of().toHexDigits(random.nextLong()) : null;
    }
  }

  private final LoadGenerator generator;
  private final EventLoop eventLoop;
  private final int index;
  private final LoadGenerator.Settings settings;
  private final ResultRecorder results;
  private final SplittableRandom random;
  private final Bootstrap bootstrap;
  private final List<ArrayDeque<LoadConnection>> idleConnections = new ArrayList<>();
  private final List<ArrayDeque<InFlightRequest>> waitingRequests = new ArrayList<>();
  private final int[] connectionsByTarget;
  private final Set<LoadConnection> openConnections = new HashSet<>();
  private TimerWheel timers;
  private Iterator<PlannedRequest> plan;
  private PlannedRequest nextRequest;
  private boolean closed;

  /** Number of attempts that timed out at the client and whose answers are still awaited. */
  private int lateAnswersAwaited;

  private volatile long startedRequests;
  private volatile long finishedRequests;

  LoadWorker(LoadGenerator generator, EventLoop eventLoop, int index) {
    this.generator = generator;
    this.eventLoop = eventLoop;
    this.index = index;
    settings = generator.settings();
    results = new ResultRecorder(settings.requestClasses());
    random = new SplittableRandom(settings.seed() * 31 + index);
    connectionsByTarget = new int[settings.targets().size()];
    settings
        .targets()
        .forEach(
            target -> {
              idleConnections.add(new ArrayDeque<>());
              waitingRequests.add(new ArrayDeque<>());
            });
    bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
  }

  EventLoop eventLoop() {
    return eventLoop;
  }

  ResultRecorder results() {
    return results;
  }

  long startedRequests() {
    return startedRequests;
  }

  long finishedRequests() {
    return finishedRequests;
  }

  int connectionCount() {
    return openConnections.size(); // read without synchronization; only for progress display
  }

  void start() {
    timers = new TimerWheel(generator.nowMs());
    plan = settings.plan().get();
    advancePlan();
    tick();
  }

  private void advancePlan() {
    do {
      nextRequest = plan.hasNext() ? plan.next() : null;
    } while (nextRequest != null && nextRequest.number() % settings.threads() != index);
  }

  /** Runs expired timers, starts the requests that are due and schedules the next tick. */
  private void tick() {
    double now = generator.nowMs();
    timers.advanceTo(now);
    for (int i = 0;
        i < MAX_SENDS_PER_TICK && nextRequest != null && nextRequest.atMs() <= now;
        i++) {
      PlannedRequest planned = nextRequest;
      advancePlan();
      startedRequests++;
      sendAttempt(
          new InFlightRequest(
              planned, settings.requestClasses().get(planned.classIndex()), random));
    }
    if (generator.stopped()
        || nextRequest == null && startedRequests == finishedRequests && lateAnswersAwaited == 0) {
      finish();
    } else if (nextRequest != null && nextRequest.atMs() - now < BUSY_WAIT_MS) {
      // Not execute(): the event loop can run immediate tasks for up to a second before it polls
      // its sockets again.
      eventLoop.schedule(this::tick, 1, TimeUnit.NANOSECONDS);
    } else {
      eventLoop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
    }
  }

  private void finish() {
    if (!closed) {
      closed = true;
      Set.copyOf(openConnections).forEach(LoadConnection::close);
      generator.workerFinished();
    }
  }

  // ---- attempts

  private void sendAttempt(InFlightRequest request) {
    double now = generator.nowMs();
    double timeoutMs =
        settings.retryPolicy().attemptTimeoutMs(request.requestClass, now - request.planned.atMs());
    if (timeoutMs < 1) { // the request timed out before this attempt could be sent
      if (request.attempts == 0) {
        results.unsent++;
        results.recordScheduleLag(now - request.planned.atMs());
      }
      finishRequest(request, ClientRetryPolicy.AttemptOutcome.FAILED);
      return;
    }
    int target = request.planned.target();
    LoadConnection connection = idleConnections.get(target).pollLast();
    if (connection != null) {
      writeAttempt(request, connection, now, timeoutMs);
    } else if (connectionsByTarget[target] < settings.connections()) {
      connect(request, target);
    } else {
      waitingRequests.get(target).add(request);
      request.timer =
          timers.schedule(
              now + timeoutMs,
              () -> {
                waitingRequests.get(target).remove(request);
                results.unsent++;
                if (request.attempts == 0) {
                  results.recordScheduleLag(generator.nowMs() - request.planned.atMs());
                }
                finishRequest(request, ClientRetryPolicy.AttemptOutcome.FAILED);
              });
    }
  }

  private void connect(InFlightRequest request, int target) {
    connectionsByTarget[target]++;
    results.connections++;
    LoadConnection connection = new LoadConnection(this, target);
    openConnections.add(connection);
    ChannelFuture connecting =
        bootstrap.clone().handler(connection).connect(settings.targets().get(target));
    connecting.addListener(
        future -> {
          if (!future.isSuccess()) {
            connectionClosed(connection);
            results.failedConnects++;
            if (request.attempts == 0) {
              results.recordScheduleLag(generator.nowMs() - request.planned.atMs());
            }
            request.attempts++;
            retryOrFinish(request, ClientRetryPolicy.AttemptOutcome.UNCONNECTED, 0);
            return;
          }
          double now = generator.nowMs();
          double timeoutMs =
              settings
                  .retryPolicy()
                  .attemptTimeoutMs(request.requestClass, now - request.planned.atMs());
          if (timeoutMs < 1) {
            releaseConnection(connection);
            sendAttempt(request); // ends the request, because it has timed out
          } else {
            writeAttempt(request, connection, now, timeoutMs);
          }
        });
  }

  private void writeAttempt(
      InFlightRequest request, LoadConnection connection, double now, double timeoutMs) {
    if (request.attempts == 0) {
      results.recordScheduleLag(now - request.planned.atMs());
    }
    request.attempts++;
    results.attempts++;
    request.attemptId = HexFormat.of().toHexDigits(random.nextLong());
    StringBuilder text =
        new StringBuilder(160)
            .append(request.requestClass.write() ? "ms " : "mg ")
            .append(request.planned.key());
    text.append(request.requestClass.write() ? " " + request.planned.valueBytes() : " v")
        .append(" O")
        .append(request.attemptId)
        .append(" Pc=")
        .append(request.requestClass.name())
        .append(",t=")
        .append(settings.tenant())
        .append(",d=")
        .append(Math.round(timeoutMs));
    if (request.idempotencyKey != null) {
      text.append(",k=").append(request.idempotencyKey);
    }
    if (request.attempts > 1) {
      text.append(",r=1");
    }
    text.append("\r\n");
    if (request.requestClass.write()) {
      text.append("x".repeat(request.planned.valueBytes())).append("\r\n");
    }
    settings
        .attemptListener()
        .attemptSent(
            request.attemptId,
            request.planned.target(),
            request.requestClass,
            request.idempotencyKey,
            timeoutMs);
    Channel channel = connection.channel();
    String attemptId = request.attemptId;
    connection.expectAnswer(
        attemptId,
        (outcome, retryAfterMs) -> attemptCompleted(request, connection, outcome, retryAfterMs));
    channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), text));
    request.timer =
        timers.schedule(
            now + timeoutMs + SOCKET_SLACK_MS,
            () -> {
              if (settings.lateAnswerWindowMs() > SOCKET_SLACK_MS) {
                awaitLateAnswer(
                    attemptId, connection, now + timeoutMs + settings.lateAnswerWindowMs());
              } else {
                abandonAttempt(attemptId, connection);
              }
              retryOrFinish(request, ClientRetryPolicy.AttemptOutcome.LOST, 0);
            });
  }

  private void abandonAttempt(String attemptId, LoadConnection connection) {
    connection.discardCallback();
    connection.close();
    settings.attemptListener().attemptEnded(attemptId, ClientRetryPolicy.AttemptOutcome.LOST, true);
  }

  /**
   * Keeps reading after the client's timeout, so that the listener learns whether the answer
   * arrives late or never.
   */
  private void awaitLateAnswer(String attemptId, LoadConnection connection, double untilMs) {
    lateAnswersAwaited++;
    TimerWheel.Timer timer =
        timers.schedule(
            untilMs,
            () -> {
              lateAnswersAwaited--;
              abandonAttempt(attemptId, connection);
            });
    connection.replaceCallback(
        (outcome, retryAfterMs) -> {
          lateAnswersAwaited--;
          timer.cancel();
          if (outcome == ClientRetryPolicy.AttemptOutcome.LOST && connection.closedWhileIdle()) {
            settings.attemptListener().connectionClosedWhileIdle(attemptId);
          } else {
            settings.attemptListener().attemptEnded(attemptId, outcome, false);
          }
          if (outcome == ClientRetryPolicy.AttemptOutcome.LOST) {
            connection.close();
          } else {
            releaseConnection(connection);
          }
        });
  }

  private void attemptCompleted(
      InFlightRequest request,
      LoadConnection connection,
      ClientRetryPolicy.AttemptOutcome outcome,
      double retryAfterMs) {
    request.timer.cancel();
    boolean closedWhileIdle =
        outcome == ClientRetryPolicy.AttemptOutcome.LOST && connection.closedWhileIdle();
    if (closedWhileIdle) {
      settings.attemptListener().connectionClosedWhileIdle(request.attemptId);
    } else {
      settings.attemptListener().attemptEnded(request.attemptId, outcome, false);
    }
    if (closedWhileIdle
        && !request.resent
        && (request.requestClass.idempotent() || request.requestClass.hasIdempotencyKey())) {
      // The proxy closed the idle connection while this request was being sent.
      request.resent = true;
      request.attempts--; // resending does not count as a retry
      results.resent++;
      sendAttempt(request);
      return;
    }
    if (outcome == ClientRetryPolicy.AttemptOutcome.LOST) {
      connection.close();
    } else {
      releaseConnection(connection);
    }
    retryOrFinish(request, outcome, retryAfterMs);
  }

  private void retryOrFinish(
      InFlightRequest request, ClientRetryPolicy.AttemptOutcome outcome, double retryAfterMs) {
    double sinceDueMs = generator.nowMs() - request.planned.atMs();
    double delayMs =
        settings
            .retryPolicy()
            .retryDelayMs(
                request.requestClass,
                outcome,
                request.attempts,
                sinceDueMs,
                retryAfterMs,
                request.clientDraw);
    if (delayMs == ClientRetryPolicy.NO_RETRY) {
      finishRequest(request, outcome);
    } else {
      timers.schedule(generator.nowMs() + delayMs, () -> sendAttempt(request));
    }
  }

  private void finishRequest(InFlightRequest request, ClientRetryPolicy.AttemptOutcome outcome) {
    finishedRequests++;
    results.recordOutcome(
        request.planned.classIndex(),
        request.planned.atMs(),
        outcome,
        generator.nowMs() - request.planned.atMs());
  }

  // ---- connections

  private void releaseConnection(LoadConnection connection) {
    if (!connection.channel().isActive()) {
      return;
    }
    InFlightRequest waiting = waitingRequests.get(connection.target()).poll();
    if (waiting == null) {
      idleConnections.get(connection.target()).add(connection);
      return;
    }
    waiting.timer.cancel();
    double now = generator.nowMs();
    writeAttempt(
        waiting,
        connection,
        now,
        Math.max(
            1,
            settings
                .retryPolicy()
                .attemptTimeoutMs(waiting.requestClass, now - waiting.planned.atMs())));
  }

  /** Called when the connection is closed or could not be opened. */
  void connectionClosed(LoadConnection connection) {
    if (openConnections.remove(connection)) {
      connectionsByTarget[connection.target()]--;
      idleConnections.get(connection.target()).remove(connection);
      InFlightRequest waiting = closed ? null : waitingRequests.get(connection.target()).poll();
      if (waiting != null) {
        waiting.timer.cancel();
        sendAttempt(waiting);
      }
    }
  }

  void countStrayAnswer() {
    results.strayAnswers++;
  }
}
