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
 * Carries a plan out against one or more addresses, whatever becomes of it: a request is written
 * when it is due, not when the one before it is over. Each thread has its own part of the plan,
 * connections and tally, and shares nothing.
 */
public final class Generator {
  /**
   * @param targets where requests go, by the plan's numbers
   * @param plan the same one with each call; each thread draws it all and keeps its part
   * @param connections at most to one address and from one thread; who finds none waits, and its
   *     time runs
   * @param tenant as requests name it
   * @param witness is told of each try
   * @param listensMs so long after a try's time its answer is still read, though it comes too late
   *     for its client
   */
  public record Settings(
      List<InetSocketAddress> targets,
      List<Kind> kinds,
      Supplier<Iterator<PlannedRequest>> plan,
      ClientTimeouts patience,
      int threads,
      int connections,
      String tenant,
      long seed,
      Witness witness,
      double listensMs) {
    public Settings(
        List<InetSocketAddress> targets,
        List<Kind> kinds,
        Supplier<Iterator<PlannedRequest>> plan,
        ClientTimeouts patience,
        int threads,
        int connections,
        String tenant,
        long seed) {
      this(
          targets,
          kinds,
          plan,
          patience,
          threads,
          connections,
          tenant,
          seed,
          Witness.NONE,
          LoadWorker.SLACK_MS);
    }
  }

  /** How far along it is, for a line on a terminal. */
  public record Progress(double seconds, long begun, long ended, int open, int connections) {}

  private static final double REHEARSED_PER_SECOND = 20_000;
  private static final double REHEARSED_MS = 2000;

  private final Settings settings;
  private final MultiThreadIoEventLoopGroup group;
  private final List<LoadWorker> lanes = new ArrayList<>();
  private final CountDownLatch done;
  private volatile long startNanos;
  private volatile boolean stopped;

  public Generator(Settings settings) {
    this.settings = settings;
    group = new MultiThreadIoEventLoopGroup(settings.threads(), NioIoHandler.newFactory());
    done = new CountDownLatch(settings.threads());
  }

  /**
   * Has this process send some thousand requests to a target of its own, unmeasured: code that is
   * not compiled yet makes the first seconds of a load late by hundreds of milliseconds. Takes some
   * two seconds.
   *
   * @param perSecond as the load will be, up to which it is worth while
   */
  public static void rehearse(double perSecond, int threads) throws InterruptedException {
    try (Echo echo = new Echo()) {
      double rate = Math.max(500, Math.min(perSecond, REHEARSED_PER_SECOND));
      new Generator(
              new Settings(
                  List.of(echo.address()),
                  Kind.USUAL,
                  () ->
                      new Plan(
                          Kind.USUAL,
                          new Arrivals(rate, new LoadProfile.Ramp(REHEARSED_MS / 2), true, 1),
                          new Keys(1000, 1, 0, Keys.Hot.NONE, 1),
                          1,
                          Plan.Overtaken.NONE,
                          64,
                          REHEARSED_MS,
                          1),
                  ClientTimeouts.USUAL,
                  threads,
                  64,
                  "t",
                  1))
          .run();
    }
  }

  /** Milliseconds since the load began, as the plan has them. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  Settings settings() {
    return settings;
  }

  boolean stopped() {
    return stopped;
  }

  void laneDone() {
    done.countDown();
  }

  /** Runs to the plan's end and the last answer's, or until {@link #stop}. What it came to. */
  public ResultRecorder run() throws InterruptedException {
    startNanos = System.nanoTime();
    for (int i = 0; i < settings.threads(); i++) {
      EventLoop loop = group.next();
      LoadWorker lane = new LoadWorker(this, loop, i);
      lanes.add(lane);
      loop.execute(lane::begin);
    }
    done.await();
    ResultRecorder all = new ResultRecorder(settings.kinds());
    for (LoadWorker lane : lanes) {
      lane.loop().submit(() -> all.add(lane.tally())).syncUninterruptibly(); // one after the other
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    return all;
  }

  /**
   * Nothing more is begun, and what is open is left: the report is of what was done. From any
   * thread.
   */
  public void stop() {
    stopped = true;
  }

  public Progress progress() {
    long begun = 0;
    long ended = 0;
    int connections = 0;
    for (LoadWorker lane : List.copyOf(lanes)) {
      begun += lane.begun();
      ended += lane.ended();
      connections += lane.connections();
    }
    return new Progress(nowMs() / 1000, begun, ended, (int) (begun - ended), connections);
  }
}
