package cacheproxy.proxy.peers;

import cacheproxy.membership.Membership;
import cacheproxy.membership.StateChange;
import cacheproxy.membership.Timing;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs {@link Membership} on the peer socket and the event loop's timers, and logs state changes.
 * The class is loaded only if the operator's file enables membership. All methods must be called on
 * the event loop.
 */
public final class MembershipLink {
  /** Number of latest changes that {@link #viewAsJson} contains. */
  private static final int MAX_CHANGES = 64;

  /**
   * Prefix of every log line of this class. The lines are documented for operators and must not
   * change.
   */
  private static final String EVENT_PREFIX = "membership.";

  private static final String TRUST_LOST_EVENT =
      EVENT_PREFIX + "ears lost: judges nobody until it is heard";
  private static final String TRUST_RESTORED_EVENT = EVENT_PREFIX + "ears proven";
  private static final String DROPPED_EVENT = EVENT_PREFIX + "untold changes=";
  private static final int MAX_LOG_LINES = 50;
  private static final double LOG_PERIOD_MS = 10_000;
  private static final double NANOS_PER_MS = 1e6;

  private final EventLoop loop;
  private final Membership membership;
  private final RateLimitedLog log;
  private final ArrayDeque<StateChange> changes = new ArrayDeque<>();
  private Optional<Runnable> whenAnotherServes = Optional.empty();
  private boolean wasUnreliable;

  /**
   * Joins the tier as a member that is starting.
   *
   * @param loop the event loop that calls this object
   * @param socket sends and receives the datagrams
   * @param tierSize the number of proxies of the tier
   * @param self this proxy's number
   * @param timing intervals, timeouts and the limit of bytes sent
   * @param seed seed of random choices; two processes may have the same
   * @param log receives the log lines
   */
  public MembershipLink(
      EventLoop loop,
      PeerSocket socket,
      int tierSize,
      int self,
      Timing timing,
      long seed,
      Consumer<String> log) {
    this.loop = loop;
    this.log = new RateLimitedLog(MAX_LOG_LINES, LOG_PERIOD_MS, DROPPED_EVENT, log);
    // Two processes of one proxy may have been started with the same seed, but need different
    // process ids.
    long processSeed = seed ^ System.nanoTime();
    membership =
        new Membership(tierSize, self, timing, processSeed, nowMs(), new Callbacks(socket));
    socket.onMembership(new Listener());
    tick();
  }

  private final class Callbacks implements Membership.Callbacks {
    private final PeerSocket socket;

    Callbacks(PeerSocket socket) {
      this.socket = socket;
    }

    @Override
    public void send(int member, byte[] datagram) {
      socket.write(member, datagram);
    }

    @Override
    public void stateChanged(StateChange change) {
      record(change);
    }
  }

  private final class Listener implements PeerSocket.MembershipListener {
    @Override
    public void onDatagram(int peer, byte[] datagram) {
      membership.receive(nowMs(), peer, datagram);
      checkForChanges();
    }

    @Override
    public void whenAnotherServes(Runnable callback) {
      whenAnotherServes = Optional.of(callback);
      checkForChanges();
    }

    @Override
    public void onServing() {
      whenAnotherServes = Optional.empty();
      membership.startServing(nowMs());
    }
  }

  private static double nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  private void tick() {
    double nowMs = nowMs();
    membership.tick(nowMs);
    checkForChanges();
    double nextMs = membership.nextTickMs();
    if (nextMs < Double.POSITIVE_INFINITY) {
      long delayMs = (long) Math.max(1, Math.ceil(nextMs - nowMs));
      loop.schedule(this::tick, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void checkForChanges() {
    if (whenAnotherServes.isPresent() && membership.isAnotherAlive()) {
      Runnable callback = whenAnotherServes.get();
      whenAnotherServes = Optional.empty();
      callback.run();
    }
    if (membership.isUnreliable() != wasUnreliable) {
      wasUnreliable = !wasUnreliable;
      log.log(nowMs(), wasUnreliable ? TRUST_LOST_EVENT : TRUST_RESTORED_EVENT);
    }
  }

  private void record(StateChange change) {
    if (changes.size() == MAX_CHANGES) {
      changes.poll();
    }
    changes.add(change);
    log.log(
        nowMs(),
        EVENT_PREFIX
            + MembershipJson.nameOf(change.to())
            + " member="
            + change.member()
            + " was="
            + MembershipJson.nameOf(change.from())
            + " incarnation="
            + change.incarnation()
            + " cause=\""
            + change.cause()
            + '"');
  }

  /** Announces that this proxy is shutting down gracefully and no other process takes it over. */
  public void startLeaving() {
    membership.startLeaving(nowMs());
  }

  /** Sets whether another process of this proxy runs at the same address. */
  public void setParallelProcess(boolean running) {
    membership.setParallelProcess(nowMs(), running);
  }

  /** Returns the number of proxies that accept clients in this view, including this one. */
  public int aliveCount() {
    return membership.aliveCount();
  }

  /**
   * Returns whether another proxy's process is considered to be running. This includes suspects.
   */
  public boolean isPresent(int member) {
    return membership.isPresent(member);
  }

  /**
   * Returns the median round-trip time to other proxies in ms, or empty if none has been measured.
   */
  public OptionalDouble medianRoundTripMs() {
    return membership.medianRoundTripMs();
  }

  /** Returns the view and its latest changes as JSON, for {@code GET /ops/members}. */
  public String viewAsJson() {
    double nowMs = nowMs();
    return MembershipJson.of(membership.view(nowMs), membership.aliveCount(), changes, nowMs);
  }
}
