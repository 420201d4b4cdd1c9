package cacheproxy.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends the requests of a plan to one or more target addresses as an open-loop load: each request
 * is sent when it is due, even if earlier requests are still unanswered. Each thread has its own
 * connections, results and part of the plan, so threads share no state.
 */
public final class LoadGenerator {
  /**
   * Settings of a load.
   *
   * @param targets addresses of the targets; {@link PlannedRequest#target} is an index into this
   *     list
   * @param plan returns an iterator over the same requests on each call; each thread iterates over
   *     all of them and sends those of its part
   * @param connections maximum number of connections per thread and target; a request that finds
   *     none free waits, and its timeout keeps running
   * @param tenant name of the tenant in the requests
   * @param attemptListener receives the start and the end of each attempt
   * @param lateAnswerWindowMs time after an attempt's timeout during which its answer is still read
   *     and reported to the listener
   */
  public record Settings(
      List<InetSocketAddress> targets,
      List<RequestClass> requestClasses,
      Supplier<Iterator<PlannedRequest>> plan,
      ClientRetryPolicy retryPolicy,
      int threads,
      int connections,
      String tenant,
      long seed,
      AttemptListener attemptListener,
      double lateAnswerWindowMs) {
    public Settings(
        List<InetSocketAddress> targets,
        List<RequestClass> requestClasses,
        Supplier<Iterator<PlannedRequest>> plan,
        ClientRetryPolicy retryPolicy,
        int threads,
        int connections,
        String tenant,
        long seed) {
      this(
          targets,
          requestClasses,
          plan,
          retryPolicy,
          threads,
          connections,
          tenant,
          seed,
          AttemptListener.NONE,
          LoadWorker.SOCKET_SLACK_MS);
    }
  }

  /** Progress of a running load, for display on a terminal. */
  public record Progress(
      double seconds, long started, long finished, int inFlight, int connections) {}

  /** Upper limit of the warm-up's rate. */
  private static final double WARM_UP_MAX_RATE_PER_SECOND = 20_000;

  private static final double WARM_UP_MS = 2000;

  private final Settings settings;
  private final MultiThreadIoEventLoopGroup group;
  private final List<LoadWorker> workers = new ArrayList<>();
  private final CountDownLatch runningWorkers;
  private volatile long startNanos;
  private volatile boolean stopped;

  public LoadGenerator(Settings settings) {
    this.settings = settings;
    group = new MultiThreadIoEventLoopGroup(settings.threads(), NioIoHandler.newFactory());
    runningWorkers = new CountDownLatch(settings.threads());
  }

  /**
   * Warms up the JVM by sending unmeasured requests to an {@link EchoServer} for about two seconds.
   * Without it, code that is not compiled yet delays requests in the first seconds of a load by
   * hundreds of milliseconds.
   *
   * @param ratePerSecond rate of the load that follows; the warm-up uses it within fixed limits
   */
  public static void warmUp(double ratePerSecond, int threads) throws InterruptedException {
    try (EchoServer echo = new EchoServer()) {
      double rate = Math.max(500, Math.min(ratePerSecond, WARM_UP_MAX_RATE_PER_SECOND));
      new LoadGenerator(
              new Settings(
                  List.of(echo.address()),
                  RequestClass.DEFAULTS,
                  () ->
                      new RequestPlan(
                          RequestClass.DEFAULTS,
                          new ArrivalProcess(rate, new LoadProfile.Ramp(WARM_UP_MS / 2), true, 1),
                          new KeyDistribution(1000, 1, 0, KeyDistribution.HotKey.NONE, 1),
                          1,
                          RequestPlan.HotTarget.NONE,
                          64,
                          WARM_UP_MS,
                          1),
                  ClientRetryPolicy.DEFAULT,
                  threads,
                  64,
                  "t",
                  1))
          .run();
    }
  }

  /** Milliseconds since the start of the load, comparable with {@link PlannedRequest#atMs}. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  Settings settings() {
    return settings;
  }

  boolean stopped() {
    return stopped;
  }

  void workerFinished() {
    runningWorkers.countDown();
  }

  /**
   * Runs until all requests of the plan have ended or {@link #stop} is called, and returns the
   * results of all threads.
   */
  public ResultRecorder run() throws InterruptedException {
    startNanos = System.nanoTime();
    for (int i = 0; i < settings.threads(); i++) {
      EventLoop loop = group.next();
      LoadWorker worker = new LoadWorker(this, loop, i);
      workers.add(worker);
      loop.execute(worker::start);
    }
    runningWorkers.await();
    ResultRecorder total = new ResultRecorder(settings.requestClasses());
    for (LoadWorker worker : workers) {
      // Waits for each worker, so that no two merge at the same time.
      worker.eventLoop().submit(() -> total.merge(worker.results())).syncUninterruptibly();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    return total;
  }

  /**
   * Stops the load: no more requests are sent and requests in flight are abandoned. {@link #run}
   * then returns the results up to this time. May be called from any thread.
   */
  public void stop() {
    stopped = true;
  }

  public Progress progress() {
    long started = 0;
    long finished = 0;
    int connections = 0;
    for (LoadWorker worker : List.copyOf(workers)) {
      started += worker.startedRequests();
      finished += worker.finishedRequests();
      connections += worker.connectionCount();
    }
    return new Progress(nowMs() / 1000, started, finished, (int) (started - finished), connections);
  }
}
