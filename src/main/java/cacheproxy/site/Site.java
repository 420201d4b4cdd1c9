package cacheproxy.site;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Stand-ins for cache nodes, an origin and discovery on loopback ports, all in this process and on
 * one event loop. The classes without sockets, such as {@link ServiceQueue} and {@link
 * EndpointRegistry}, decide how they behave, and the {@link Ledger} records what happened. Two
 * sites share no state.
 */
public final class Site implements AutoCloseable {
  /**
   * Size and speed of a site.
   *
   * @param nodes number of cache nodes, at least 1
   * @param slowShare share of the cache nodes that are of the slow kind
   * @param zones number of zones over which the nodes are spread
   * @param keysPerNode maximum number of keys stored by a node
   * @param cacheReadMs mean work of a read at a cache node, at a speed of 1
   * @param originReadMs mean work of a read at the origin
   * @param connectionsPerNode maximum number of connections of a node
   * @param originSlots number of requests that the origin works on at the same time
   * @param announceDelayMs time from a change to its announcement by discovery
   * @param discoveryLinesPerS rate at which discovery sends lines, over all connections
   * @param overloadMultiple multiple of its current capacity at which a node in its warm-up counts
   *     as overloaded
   * @param seed seed of the random draws
   */
  public record Plan(
      int nodes,
      double slowShare,
      int zones,
      int keysPerNode,
      double cacheReadMs,
      double originReadMs,
      int connectionsPerNode,
      int originSlots,
      double announceDelayMs,
      double discoveryLinesPerS,
      double overloadMultiple,
      long seed) {
    /** A plan with default values. */
    public static Plan of(int nodes, long seed) {
      return new Plan(nodes, 0.41, 4, 4000, 20, 40, 40, 16, 500, 200, 3, seed);
    }

    /**
     * Returns a copy with other values for reads at cache nodes.
     *
     * @param readMs mean work of a read at a cache node, at a speed of 1
     * @param newOverloadMultiple multiple of its current capacity at which a node in its warm-up
     *     counts as overloaded
     */
    public Plan withReadWork(double readMs, double newOverloadMultiple) {
      return new Plan(
          nodes,
          slowShare,
          zones,
          keysPerNode,
          readMs,
          originReadMs,
          connectionsPerNode,
          originSlots,
          announceDelayMs,
          discoveryLinesPerS,
          newOverloadMultiple,
          seed);
    }
  }

  static final double START_CAPACITY = 0.3;
  static final double WARM_UP_MS = 9000;
  static final double OVERLOAD_WINDOW_MS = 1500;
  static final double IDEMPOTENCY_WINDOW_MS = 1500;
  static final double DRAIN_GRACE_MS = 2000;
  static final double ANSWER_GRACE_MS = 50;

  /**
   * Time after a client's deadline up to which an answer counts as late. A later or missing answer
   * is a breach.
   */
  public static final double LOST_MS = 500;

  private static final int MAX_BIND_RETRIES = 100;
  private static final long BIND_RETRY_DELAY_MS = 20;

  private final Plan plan;

  /** Longest time between two polls of the sockets. It bounds the uncertainty of arrival times. */
  private static final long MAX_SELECT_INTERVAL_MS = 5;

  private final SelectTimes selectTimes = new SelectTimes();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> selectTimes));
  private final EventLoop loop = group.next();
  private final long startNanos = System.nanoTime();
  private final Ledger ledger =
      new Ledger(
          new Ledger.GracePeriods(
              ANSWER_GRACE_MS, LOST_MS, DRAIN_GRACE_MS + ANSWER_GRACE_MS, IDEMPOTENCY_WINDOW_MS));
  private final SplittableRandom random;
  private final Loopback loopback;
  private final int proxyAddresses;
  private final NetworkPaths networkPaths = new NetworkPaths();
  private final EndpointRegistry registry = new EndpointRegistry();
  private final Map<String, CacheNodeServer> nodes = new LinkedHashMap<>();
  private final ValueStore.PendingFills pendingFills = new ValueStore.PendingFills();
  private final OriginServer origin;
  private final DiscoveryServer discoveryServer;
  private int nodesCreated;

  public Site(Plan plan) throws Exception {
    this(plan, new Loopback(), 0);
  }

  /**
   * Starts a site on ports of this address block, which is closed together with the site.
   *
   * @param proxyAddresses number of proxies that reach the site at an address of their own, so that
   *     their network paths can be cut one by one
   */
  public Site(Plan plan, Loopback loopback, int proxyAddresses) throws Exception {
    this.plan = plan;
    this.loopback = loopback;
    this.proxyAddresses = proxyAddresses;
    random = new SplittableRandom(plan.seed());
    origin =
        new OriginServer(
            this,
            new ServiceQueue<>(
                new ServiceQueue.Settings(plan.originSlots(), 4 * plan.originSlots(), 1, 1, 0)));
    List<Channel> listeners = bind(origin::newConnectionHandlers, loopback.port());
    registry.put(
        new EndpointRegistry.Host(
            "s-origin", hostAndPort(listeners), zone(0), "origin", EndpointRegistry.Health.UP, 0));
    for (int n = 0; n < plan.nodes(); n++) {
      addNode(false, 1);
    }
    discoveryServer = new DiscoveryServer(this, registry);
    discoveryServer.listening(bind(discoveryServer::newConnectionHandlers, loopback.port()));
    loop.scheduleAtFixedRate(
        () -> {}, MAX_SELECT_INTERVAL_MS, MAX_SELECT_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  // ---- shared by the servers of this package

  Plan plan() {
    return plan;
  }

  EventLoop loop() {
    return loop;
  }

  /** Milliseconds since the start of the site, the clock of the ledger. */
  public double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Records that a connection is accepted now. Called on the event loop. */
  SelectTimes.AcceptedConnection connectionAccepted() {
    return selectTimes.connectionAccepted();
  }

  /**
   * Earliest time, on the ledger's clock, at which data that is read now on this connection can
   * have arrived.
   */
  double earliestArrivalMs(SelectTimes.AcceptedConnection connection) {
    return (selectTimes.earliestArrivalNanos(connection) - startNanos) / 1e6;
  }

  /**
   * The ledger. Callers must synchronize on it, because the event loop and the threads of clients
   * both use it.
   */
  public Ledger ledger() {
    return ledger;
  }

  SplittableRandom random() {
    return random;
  }

  ValueStore.PendingFills pendingFills() {
    return pendingFills;
  }

  Iterable<CacheNodeServer> nodes() {
    return nodes.values();
  }

  void schedule(double delayMs, Runnable task) {
    loop.schedule(task, Math.max(0, Math.round(delayMs * 1000)), TimeUnit.MICROSECONDS);
  }

  /**
   * Draws the work of a request from an exponential distribution with this mean, limited to ten
   * times the mean.
   */
  double drawWorkMs(double meanMs) {
    return Math.min(10 * meanMs, -meanMs * Math.log(1 - random.nextDouble()));
  }

  /** Binds the port at the site's own address and at the address of each proxy. */
  private List<Channel> bind(Supplier<ChannelHandler[]> handlers, int port)
      throws InterruptedException {
    List<Channel> all = new ArrayList<>();
    for (int proxy = -1; proxy < proxyAddresses; proxy++) {
      all.add(
          bind(
              handlers,
              new InetSocketAddress(
                  proxy < 0 ? loopback.host() : loopback.hostForProxy(proxy), port)));
    }
    return all;
  }

  /**
   * Binds an address that has just been released, with retries: the JDK frees the port of a closed
   * listener only when the selector has deregistered its key, which happens in its next round.
   */
  static <T> T bindWithRetry(Callable<T> binding) throws InterruptedException {
    for (int retries = 0; ; retries++) {
      try {
        return binding.call();
      } catch (InterruptedException e) {
        throw e;
      } catch (Exception e) {
        if (!(e instanceof BindException) || retries >= MAX_BIND_RETRIES) {
          throw new IllegalStateException(e);
        }
        Thread.sleep(BIND_RETRY_DELAY_MS);
      }
    }
  }

  private Channel bind(Supplier<ChannelHandler[]> handlers, InetSocketAddress at)
      throws InterruptedException {
    ServerBootstrap server = serverBootstrap(handlers);
    return bindWithRetry(() -> server.bind(at).sync().channel());
  }

  private ServerBootstrap serverBootstrap(Supplier<ChannelHandler[]> handlers) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlers.get());
              }
            });
  }

  private String hostAndPort(List<Channel> listeners) {
    return loopback.host() + ":" + ((InetSocketAddress) listeners.get(0).localAddress()).getPort();
  }

  /**
   * Rewrites the addresses of an endpoint list to those for this proxy; -1 leaves the list
   * unchanged.
   */
  String rewriteForProxy(int proxy, String text) {
    return proxy < 0 || proxy >= proxyAddresses
        ? text
        : text.replace('"' + loopback.host() + ':', '"' + loopback.hostForProxy(proxy) + ':');
  }

  NetworkPaths networkPaths() {
    return networkPaths;
  }

  /** Cuts the network paths from a proxy that has an address of its own, or restores them. */
  public void setPathsCut(int proxy, boolean toNodes, boolean toDiscovery, boolean cut)
      throws Exception {
    callOnLoop(
        () -> {
          if (toNodes) {
            networkPaths.setCut(proxy, NetworkPaths.Destination.NODES, cut);
          }
          if (toDiscovery) {
            networkPaths.setCut(proxy, NetworkPaths.Destination.LISTS, cut);
          }
          return null;
        });
  }

  private String zone(int number) {
    return String.valueOf((char) ('a' + number % plan.zones()));
  }

  private String addNode(boolean cold, int share) throws InterruptedException, java.io.IOException {
    int number = nodesCreated++;
    boolean slow =
        number % 100 < plan.slowShare() * 100
            || number * plan.slowShare() % 1 + plan.slowShare() >= 1;
    ServiceQueue<CacheNodeServer.Job> queue =
        new ServiceQueue<>(
            new ServiceQueue.Settings(4, 32, slow ? 0.9 : 1.8, START_CAPACITY, WARM_UP_MS));
    String name = String.format("s-%04x", number + 1);
    CacheNodeServer node =
        new CacheNodeServer(
            this, name, queue, new ValueStore(plan.keysPerNode(), IDEMPOTENCY_WINDOW_MS));
    List<Channel> listeners = bind(node::newConnectionHandlers, loopback.port());
    node.listening(listeners);
    nodes.put(name, node);
    if (cold) {
      queue.coldStart(nowMs());
    }
    registry.put(
        new EndpointRegistry.Host(
            name,
            hostAndPort(listeners),
            zone(number),
            slow ? "slow" : "fast",
            EndpointRegistry.Health.UP,
            share,
            cold ? System.currentTimeMillis() : 0));
    return name;
  }

  // ---- faults, may be called from any thread except the event loop

  private <T> T callOnLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(10, TimeUnit.SECONDS);
  }

  public List<String> nodeNames() throws Exception {
    return callOnLoop(() -> new ArrayList<>(nodes.keySet()));
  }

  private CacheNodeServer node(String name) {
    CacheNodeServer node = nodes.get(name);
    if (node == null) {
      throw new IllegalArgumentException("no cache node " + name + " among " + nodes.keySet());
    }
    return node;
  }

  /** Stores these keys at all nodes, with the first key as the most recently used. */
  public void preloadKeys(List<String> keys) throws Exception {
    callOnLoop(
        () -> {
          for (int k = keys.size() - 1; k >= 0; k--) {
            for (CacheNodeServer node : nodes.values()) {
              node.store().put(keys.get(k));
            }
          }
          return null;
        });
  }

  /** Stalls a node for this time; its connections stay open. */
  public void stall(String name, double durationMs) throws Exception {
    callOnLoop(
        () -> {
          node(name).queue().stall(nowMs(), durationMs);
          return null;
        });
  }

  /**
   * Crashes a node: its connections are reset and new ones are refused. Discovery lists it as
   * removed after the announcement delay.
   */
  public void crash(String name) throws Exception {
    callOnLoop(
        () -> {
          node(name).crash();
          announceLeaving(name, EndpointRegistry.Health.REMOVED);
          return null;
        });
  }

  /** Restarts a crashed node at its address, cold and without stored keys. */
  public void restart(String name) throws Exception {
    CacheNodeServer node = callOnLoop(() -> node(name));
    List<Channel> listeners = bind(node::newConnectionHandlers, node.port());
    callOnLoop(
        () -> {
          node.listening(listeners);
          node.queue().coldStart(nowMs());
          node.store().clear();
          EndpointRegistry.Host host = registry.host(name);
          schedule(
              plan.announceDelayMs(),
              () -> {
                registry.put(
                    new EndpointRegistry.Host(
                        name,
                        host.dial(),
                        host.zone(),
                        host.kind(),
                        EndpointRegistry.Health.UP,
                        host.share(),
                        System.currentTimeMillis()));
                synchronized (ledger) {
                  ledger.serverReturned(name);
                }
                discoveryServer.notifyWatches();
              });
          return null;
        });
  }

  /**
   * Makes a node unreachable although discovery still lists it: open connections send nothing and
   * new ones are neither established nor refused.
   */
  public void vanish(String name) throws Exception {
    CacheNodeServer node =
        callOnLoop(
            () -> {
              node(name).setSilent(true);
              node(name).closeListeners();
              return node(name);
            });
    for (int proxy = -1; proxy < proxyAddresses; proxy++) {
      InetSocketAddress at =
          new InetSocketAddress(
              proxy < 0 ? loopback.host() : loopback.hostForProxy(proxy), node.port());
      node.addBlackhole(bindWithRetry(() -> new BlackholeListener(at)));
    }
  }

  /** Makes an unreachable node reachable again, with its stored keys and its jobs in progress. */
  public void appear(String name) throws Exception {
    CacheNodeServer node = callOnLoop(() -> node(name));
    node.closeBlackholes();
    List<Channel> listeners = bind(node::newConnectionHandlers, node.port());
    callOnLoop(
        () -> {
          node.listening(listeners);
          node.setSilent(false);
          return null;
        });
  }

  /** Number of read requests that a node has received. */
  public long requestsReceived(String name) throws Exception {
    return callOnLoop(() -> node(name).requestsReceived());
  }

  /** Drains a node: it completes the requests that it has and rejects new ones. */
  public void drain(String name) throws Exception {
    callOnLoop(
        () -> {
          node(name).startDraining();
          announceLeaving(name, EndpointRegistry.Health.DRAINING);
          return null;
        });
  }

  /**
   * Withholds the answers of a node, or sends the withheld answers and resumes; its connections
   * stay open.
   */
  public void setSilent(String name, boolean silent) throws Exception {
    callOnLoop(
        () -> {
          node(name).setSilent(silent);
          return null;
        });
  }

  /** Adds a cold node and returns its name. */
  public String join() throws Exception {
    return join(1);
  }

  /**
   * Adds a cold node and returns its name.
   *
   * @param share relative share of the keys on the endpoint list
   */
  public String join(int share) throws Exception {
    String name = addNode(true, share);
    callOnLoop(
        () -> {
          discoveryServer.notifyWatches();
          return null;
        });
    return name;
  }

  /** Replaces the next answer of this node by a line that is not valid in the protocol. */
  public void corruptNextAnswer(String name) throws Exception {
    callOnLoop(
        () -> {
          node(name).corruptNextAnswer();
          return null;
        });
  }

  /** Makes discovery unreachable, or reachable again. */
  public void setDiscoveryUnreachable(boolean unreachable) throws Exception {
    callOnLoop(
        () -> {
          discoveryServer.setUnreachable(unreachable);
          return null;
        });
  }

  /** Injects a fault of a scenario that concerns cache nodes or discovery. */
  public void injectFault(Scenario.Event fault) throws Exception {
    String name = fault.type().targetsNode() ? String.format("s-%04x", fault.node() + 1) : "";
    switch (fault.type()) {
      case STALL -> stall(name, fault.durationMs());
      case CRASH -> crash(name);
      case RESTART -> restart(name);
      case DRAIN -> drain(name);
      case SILENT -> setSilent(name, true);
      case SPEAK -> setSilent(name, false);
      case SPOIL -> corruptNextAnswer(name);
      case VANISH -> vanish(name);
      case APPEAR -> appear(name);
      case JOIN -> join();
      case LISTS_OUT -> setDiscoveryUnreachable(true);
      case LISTS_BACK -> setDiscoveryUnreachable(false);
      default ->
          throw new IllegalArgumentException(
              fault.type() + " is not a fault of cache nodes or discovery");
    }
  }

  private void announceLeaving(String name, EndpointRegistry.Health health) {
    schedule(
        plan.announceDelayMs(),
        () -> {
          registry.setHealth(name, health);
          synchronized (ledger) {
            ledger.serverLeaving(name, nowMs());
          }
          discoveryServer.notifyWatches();
        });
  }

  // ---- configuration of proxies and results

  public InetSocketAddress discoveryAddress() {
    return discoveryServer.address();
  }

  /** The configuration of a proxy in the form in which the platform writes it. */
  public String proxyConfig(
      int proxy, int proxies, int listen, List<cacheproxy.load.RequestClass> kinds)
      throws Exception {
    int addressIndex = proxy < proxyAddresses ? proxy : -1;
    String endpointList = rewriteForProxy(addressIndex, callOnLoop(registry::fullList));
    List<String> zones = new ArrayList<>();
    for (int z = 0; z < plan.zones(); z++) {
      zones.add("\"" + zone(z) + "\"");
    }
    List<String> classes = new ArrayList<>();
    for (cacheproxy.load.RequestClass kind : kinds) {
      classes.add(
          String.format(
              java.util.Locale.ROOT,
              "{\"name\":\"%s\",\"idempotency\":\"%s\",\"group\":\"all\",\"window\":%.0f,"
                  + "\"promise\":%.0f,\"deadline\":%.0f,\"late-share\":0.3,\"worth\":1,\"stream\":false}",
              kind.name(),
              kind.hasIdempotencyKey() ? "dedup" : kind.idempotent() ? "retryable" : "fragile",
              IDEMPOTENCY_WINDOW_MS,
              kind.latencyObjectiveMs(),
              kind.timeoutMs()));
    }
    return String.format(
        java.util.Locale.ROOT,
        """
                {"name":"n%d","listen":"127.0.0.1:%d","discovery":"%s:%d","seed":"%016x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":%s,
                 "settings":{"me":%d,"balancers":%d,"locality":%d,"zones":[%s],"kinds":["fast","slow","origin"],
                  "discovery":"ask","extra":{"mode":"aside","origin-kind":2},"report":{"how":"silent","names":[]},
                  "value-by":"request","over-share-worth":1,
                  "caps":{"may-cancel":true,"may-probe":false,"peers":false,"second-copies":true,"retry-after":true,
                   "max-attempts":3,"max-retry-after":500,"connect-timeout":250,"idle-close":15000,"streams-per-conn":64},
                  "guarantees":{"drain-grace":%.0f,"grace-to-answer":20,"start-capacity":%s,"warm-up":%.0f,
                   "tip-multiple":%s,"fall":%.0f,"ask-within":10000},
                  "classes":[%s],"tenants":[]}}
                """,
        proxy,
        listen,
        addressIndex < 0 ? loopback.host() : loopback.hostForProxy(addressIndex),
        discoveryAddress().getPort(),
        plan.seed() + proxy,
        endpointList,
        proxy,
        proxies,
        proxy % plan.zones(),
        String.join(",", zones),
        DRAIN_GRACE_MS,
        START_CAPACITY,
        WARM_UP_MS,
        plan.overloadMultiple(),
        OVERLOAD_WINDOW_MS,
        String.join(",", classes));
  }

  /** Judges all requests whose time is over and returns all breaches recorded so far. */
  public List<Breach> judgeRequests() {
    synchronized (ledger) {
      ledger.judgeExpiredRequests(nowMs());
      return ledger.breaches();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    try {
      loopback.close();
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
