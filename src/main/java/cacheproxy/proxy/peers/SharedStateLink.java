package cacheproxy.proxy.peers;

import cacheproxy.routing.RoutingApi;
import cacheproxy.shared.SharedState;
import cacheproxy.shared.SharedStateHost;
import cacheproxy.shared.SharedStateSettings;
import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs {@link SharedState} on the event loop: sends its datagrams through the peer socket, passes
 * the routing module's clock, and calls it by a timer when it is due. The class is loaded only if
 * the operator's file enables shared state. All methods must be called on the event loop.
 */
public final class SharedStateLink {
  /** Gives access to the routing module's clock, the routing module and the log. */
  public interface Caller {
    /** Returns the present time on the routing module's clock, in milliseconds. */
    double now();

    /**
     * Called when other proxies' health verdict on a server has changed. The implementation has to
     * notify the routing module after the module's present call has returned.
     */
    void verdictReceived(int server, boolean excluded);

    /** Writes a line to the log. */
    void log(String line);
  }

  private static final double MIN_TIMER_MS = 1;
  private static final int MICROS_PER_MS = 1000;

  /** Safeguards that are disabled. Only changed by tests that show the effect of a safeguard. */
  static Set<SharedState.Safeguard> disabledSafeguards = Set.of();

  private final EventLoop loop;
  private final Caller caller;
  private final SharedState state;
  private final SharedStateSettings settings;
  private final VerdictLog verdictLog;

  /** The time for which the current timer is set, or infinite if none is set. */
  private double timerMs = Double.POSITIVE_INFINITY;

  /**
   * Starts to exchange state with the proxies that {@code members} considers present.
   *
   * @param seed this proxy's seed; the time is mixed in because two processes of one proxy may have
   *     been started with the same seed
   */
  public SharedStateLink(
      EventLoop loop,
      PeerSocket socket,
      MembershipLink members,
      SharedStateSettings settings,
      long seed,
      Caller caller) {
    this.loop = loop;
    this.caller = caller;
    this.settings = settings;
    verdictLog = new VerdictLog(caller::log);
    state =
        new SharedState(
            settings,
            seed ^ System.nanoTime(),
            caller.now(),
            new Host(socket, members),
            disabledSafeguards);
    socket.onSharedState(
        (peer, datagram) -> {
          state.receive(caller.now(), peer, datagram);
          wakeUpBy(state.nextTickMs());
        });
    wakeUpBy(state.nextTickMs());
  }

  private final class Host implements SharedStateHost {
    private final PeerSocket socket;
    private final MembershipLink members;

    Host(PeerSocket socket, MembershipLink members) {
      this.socket = socket;
      this.members = members;
    }

    @Override
    public void send(int proxy, byte[] datagram) {
      socket.write(proxy, datagram);
    }

    @Override
    public boolean isPresent(int proxy) {
      return members.isPresent(proxy);
    }

    @Override
    public int presentCount() {
      return Math.max(1, members.aliveCount());
    }

    @Override
    public void wakeUpBy(double atMs) {
      SharedStateLink.this.wakeUpBy(atMs);
    }

    @Override
    public void verdictReceived(int node, boolean excluded) {
      caller.verdictReceived(node, excluded);
    }

    @Override
    public void verdictChanged(double now, int node, boolean excluded, String cause) {
      verdictLog.record(now, node, excluded, cause);
    }
  }

  /**
   * Sets a timer if none is set for this time or earlier. A timer that it replaces has no effect.
   */
  private void wakeUpBy(double atMs) {
    if (atMs < timerMs) {
      timerMs = atMs;
      loop.schedule(
          () -> timerFired(atMs),
          (long) Math.max(0, (atMs - caller.now()) * MICROS_PER_MS),
          TimeUnit.MICROSECONDS);
    }
  }

  private void timerFired(double atMs) {
    if (atMs != timerMs) {
      return;
    }
    timerMs = Double.POSITIVE_INFINITY;
    state.tick(caller.now());
    wakeUpBy(Math.max(caller.now() + MIN_TIMER_MS, state.nextTickMs()));
  }

  /** Returns the interface through which the routing module uses the shared state. */
  public RoutingApi.Tier tier() {
    return state;
  }

  /** Sets whether another process of this proxy runs at the same address. */
  public void setParallelProcess(boolean another) {
    state.setOverlapping(caller.now(), another);
  }

  /** Returns the answer to {@code GET /ops/shared}. */
  public String json() {
    double now = caller.now();
    return SharedStateJson.of(
            now, settings.me(), state.view(now), state::isExcluded, verdictLog.json(now))
        + "\n";
  }
}
