package cacheproxy.proxy;

import cacheproxy.admin.ProcessStatus;
import cacheproxy.proxy.admin.KnownNodeNames;
import cacheproxy.proxy.admin.OperatorServer;
import cacheproxy.proxy.admin.ProxyOperations;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.peers.MembershipLink;
import cacheproxy.proxy.peers.PeerSocket;
import cacheproxy.proxy.peers.SharedStateLink;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A proxy process: creates its sockets, wires its components, applies their limits and shuts it
 * down gracefully.
 */
public final class Proxy {
  /** Connections that the kernel keeps until they are accepted. */
  static final int BACKLOG = 512;

  /** Interval at which the status that another process of this proxy reads is updated. */
  private static final long STATUS_INTERVAL_MS = 50;

  /**
   * Exit code when the event loop has ended unexpectedly, in which case nothing is served any more.
   */
  private static final int EXIT_CODE_LOOP_ENDED = 1;

  static {
    PlainLog.install(); // before any Netty class obtains a logger
  }

  private GuardedIo guardedIo;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, GuardedIo.factory(NioIoHandler.newFactory(), made -> guardedIo = made));
  private final EventLoop loop = group.next();
  private final Config config;
  private final Dispatcher dispatcher;
  private final PeerSocket peers;

  /** Null if the operator's file does not enable membership. */
  private volatile MembershipLink memberLink;

  /** Null if the operator's file does not enable shared state. */
  private volatile SharedStateLink sharedLink;

  private final DiscoveryClient discovery;
  private final ConnectionAdmission connectionAdmission;
  private final Listener listener;

  /** Null if the configuration has no control address. */
  private final OperatorServer operatorServer;

  private final KnownNodeNames knownNodeNames;
  private volatile boolean ready;
  private volatile ProcessStatus ownStatus = ProcessStatus.STARTING;
  private volatile ProcessStatus otherProcess = ProcessStatus.ABSENT;
  private volatile int loadedConfigs = 1;
  private volatile int invalidConfigs;

  private Proxy(Config config, ByteBufAllocator allocator, LifecycleSignals<Proxy> signals)
      throws InterruptedException, IOException {
    this.config = config;
    knownNodeNames = config.control() == null ? null : new KnownNodeNames();
    dispatcher = new Dispatcher(loop, config, allocator);
    peers = new PeerSocket(loop, config.peerAddresses(), dispatcher);
    connectionAdmission = new ConnectionAdmission(loop, dispatcher);
    DiscoveryAdapter adapter = new DiscoveryAdapter(dispatcher, config);
    discovery =
        new DiscoveryClient(
            loop,
            config.discoverySettings(),
            adapter,
            adapter,
            adapter,
            knownNodeNames == null ? name -> {} : knownNodeNames::add);
    operatorServer = config.control() == null ? null : startOperatorServer(config);
    if (operatorServer != null) {
      discovery.publishConfiguredHostNames();
      otherProcess = operatorServer.otherProcessAtStart();
      dispatcher.requestIds().share(operatorServer.requestIds());
      operatorServer.startPolling();
    }
    if (config.membershipTiming() != null) {
      if (peers.hasPeers() && config.settings().instanceIndex() < config.peers().size()) {
        loop.submit(
                () ->
                    memberLink =
                        new MembershipLink(
                            loop,
                            peers,
                            config.peers().size(),
                            config.settings().instanceIndex(),
                            config.membershipTiming(),
                            config.seed(),
                            dispatcher::log))
            .syncUninterruptibly();
        boolean another = !otherProcess.isAbsent();
        loop.execute(() -> memberLink.setParallelProcess(another));
      } else {
        dispatcher.log(
            "membership stays off: no peers are configured, or this proxy is not among them");
      }
    }
    WarmUp warmUp = new WarmUp(loop, config, allocator, peers, otherProcess.serving());
    loop.submit(warmUp::run).syncUninterruptibly().getNow().awaitUninterruptibly();
    dispatcher.log(warmUp.toString());
    loop.submit(
            () -> {
              if (dispatcher.loadShedder() != null) {
                guardedIo.watch(new EventLoopMonitor(dispatcher));
              }
              dispatcher.start(discovery, peers, connectionAdmission::clientDisconnected);
              if (memberLink != null && config.sharedStateSettings() != null) {
                sharedLink =
                    new SharedStateLink(
                        loop,
                        peers,
                        memberLink,
                        config.sharedStateSettings(),
                        config.seed(),
                        new SharedLinkCaller());
                dispatcher.useTier(sharedLink.tier());
                sharedLink.setParallelProcess(!otherProcess.isAbsent());
              }
              discovery.enableVersionGossip(peers, Optional.ofNullable(memberLink));
              discovery.start();
              if (operatorServer != null) {
                updateOwnStatus();
              }
            })
        .syncUninterruptibly();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> new Listener(connectionAdmission))
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelReadComplete(ChannelHandlerContext ctx) {
                    connectionAdmission.acceptRoundEnded();
                    ctx.fireChannelReadComplete();
                  }
                })
            .childOption(ChannelOption.ALLOCATOR, allocator) // Netty sets TCP_NODELAY by itself
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR, new ClientReadBufferSizer(dispatcher.accounts()))
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(64 << 10, 128 << 10))
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connectionAdmission.addClient(channel);
                  }
                });
    if (operatorServer != null) {
      // For an upgrade, a second process listens at the same address.
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    if (!signals.tryListen()) {
      new CountDownLatch(1).await(); // the process is terminating, and no client has connected
    }
    listener = (Listener) bootstrap.bind(config.listen()).sync().channel();
    listener
        .config()
        .<ServerChannelRecvByteBufAllocator>getRecvByteBufAllocator()
        .maxMessagesPerRead(ConnectionAdmission.maxAcceptsPerRound());
    loop.submit(
            () -> {
              connectionAdmission.start(listener);
              peers.announceServing();
              listener.config().setAutoRead(true);
            })
        .syncUninterruptibly();
    ready = true;
  }

  /** Connects the state shared within the tier to the dispatcher. */
  private final class SharedLinkCaller implements SharedStateLink.Caller {
    @Override
    public double now() {
      return dispatcher.now();
    }

    @Override
    public void verdictReceived(int server, boolean excluded) {
      dispatcher.onGossipedHealth(server, excluded);
    }

    @Override
    public void log(String line) {
      dispatcher.log(line);
    }
  }

  private OperatorServer startOperatorServer(Config config)
      throws InterruptedException, IOException {
    return new OperatorServer(
        config.control(),
        Optional.ofNullable(config.sharedFolder()),
        new Operations(),
        GuardedIo.factory(NioIoHandler.newFactory()));
  }

  /** The operators' calls. State of the event loop is read and changed on the event loop only. */
  private final class Operations implements ProxyOperations {
    @Override
    public boolean isReady() {
      return ready;
    }

    @Override
    public JsonSource metrics() {
      return onLoop(() -> dispatcher.metrics(loadedConfigs, invalidConfigs));
    }

    @Override
    public Optional<JsonSource> membershipView() {
      return memberLink == null
          ? Optional.empty()
          : Optional.of(onLoop(() -> memberLink.viewAsJson()));
    }

    @Override
    public Optional<JsonSource> sharedStateView() {
      return sharedLink == null ? Optional.empty() : Optional.of(onLoop(() -> sharedLink.json()));
    }

    private JsonSource onLoop(Supplier<String> json) {
      return receiver -> loop.execute(() -> receiver.accept(json.get()));
    }

    @Override
    public boolean isKnownNode(String node) {
      return knownNodeNames.contains(node);
    }

    @Override
    public void setEjectedNodes(Set<String> ejectedNodes, Runnable whenApplied) {
      loop.execute(
          () -> {
            dispatcher.ejectManually(ejectedNodes);
            whenApplied.run();
          });
    }

    @Override
    public ProcessStatus status() {
      return ownStatus;
    }

    @Override
    public void onOtherProcessStatus(ProcessStatus other) {
      otherProcess = other;
      if (memberLink != null) {
        loop.execute(() -> memberLink.setParallelProcess(!other.isAbsent()));
      }
      if (sharedLink != null) {
        loop.execute(() -> sharedLink.setParallelProcess(!other.isAbsent()));
      }
    }
  }

  /**
   * Updates the status that another process of this proxy reads, and leaves to that process the
   * descriptors that it holds.
   */
  private void updateOwnStatus() {
    // At least 1: a process that reports no descriptors counts as absent.
    ownStatus =
        new ProcessStatus(
            Math.max(1, connectionAdmission.inUse()), dispatcher.upstreamDescriptors(), ready);
    dispatcher.reserveUpstreamConnections(otherProcess);
    connectionAdmission.reserve(config.sockets(), otherProcess);
    loop.schedule(this::updateOwnStatus, STATUS_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a proxy with the configuration that the environment variable {@code BALANCER_CONFIG}
   * names, until SIGTERM.
   *
   * @param settingsFile the operator's file; null if there is none, in which case no class that
   *     reads one is loaded
   */
  public static void main(String settingsFile) {
    String path = System.getenv("BALANCER_CONFIG");
    LifecycleSignals<Proxy> signals = new LifecycleSignals<>();
    Config config;
    try {
      HangupSignal.handle(
          () ->
              signals.reloadRequested(
                  p ->
                      p.reload(
                          path))); // before the file is read: it may be replaced right after that
      config = Config.read(path);
      if (settingsFile != null) {
        config = OperatorSettings.read(settingsFile, config);
      }
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.exit(2);
      return;
    } catch (ReflectiveOperationException e) {
      System.err.println("can't install the SIGHUP handler: " + e);
      System.exit(1);
      return;
    }
    try {
      // Before the socket listens, so that SIGTERM drains the proxy from the first connection on.
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    Proxy proxy = signals.terminationRequested();
                    if (proxy != null) {
                      proxy.drain();
                    }
                  }));
      Proxy proxy = new Proxy(config, ByteBufAllocator.DEFAULT, signals);
      signals.startCompleted(proxy, p -> p.reload(path));
      proxy.exitWhenLoopEnds();
    } catch (Throwable e) {
      signals.startCompleted(null, p -> {});
      System.err.println("can't listen on " + config.listen() + ": " + e);
      System.exit(1);
    }
  }

  static Proxy start(Config config) throws InterruptedException, IOException {
    return start(config, ByteBufAllocator.DEFAULT);
  }

  /**
   * Starts a proxy that takes the buffers of client and upstream connections from this allocator.
   */
  static Proxy start(Config config, ByteBufAllocator allocator)
      throws InterruptedException, IOException {
    return new Proxy(config, allocator, new LifecycleSignals<>());
  }

  /**
   * Ends the process with an error code if the event loop ends, because without it nothing is
   * served.
   */
  void exitWhenLoopEnds() {
    group
        .terminationFuture()
        .addListener(
            f -> {
              System.err.println("the event loop has ended unplanned");
              Runtime.getRuntime().halt(EXIT_CODE_LOOP_ENDED);
            });
  }

  InetSocketAddress address() {
    return listener.localAddress();
  }

  InetSocketAddress peerAddress() {
    return peers.address().orElse(null);
  }

  // ---- configuration reload

  /**
   * Reloads the configuration file on the caller's thread, so that the event loop never waits for a
   * disk. Only the discovery address is applied; limits that size sockets and tables keep their
   * values until a restart. An invalid file leaves everything unchanged.
   */
  void reload(String path) {
    try {
      Config next = Config.read(path);
      loop.execute(() -> discovery.moveTo(next.discovery()));
      loadedConfigs++;
      System.err.println("configuration read again: discovery at " + next.discovery());
    } catch (IllegalArgumentException e) {
      invalidConfigs++;
      System.err.println(e.getMessage() + " (keeping the previous configuration)");
    }
  }

  /**
   * Shuts the proxy down gracefully. Returns when no connection is left, or no answer could meet
   * its deadline any more.
   */
  void drain() {
    ready = false;
    GracefulShutdown shutdown =
        new GracefulShutdown(
            loop,
            dispatcher,
            connectionAdmission,
            listener,
            () -> otherProcess,
            GracefulShutdown.longestDeadlineMs(config.settings()));
    loop.execute(
        () -> {
          // While another process of this proxy runs, the member stays in the tier.
          if (memberLink != null && otherProcess.isAbsent()) {
            memberLink.startLeaving();
          }
          shutdown.start();
        });
    shutdown.awaitCompletion();
  }

  /** For tests. State owned by the event loop may only be read on the event loop. */
  ConnectionAdmission connectionAdmission() {
    return connectionAdmission;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  EventLoop loop() {
    return loop;
  }

  /** Null if the configuration has no control address. */
  OperatorServer operatorServer() {
    return operatorServer;
  }

  /** Closes the proxy without draining; for tests. */
  void close() throws IOException {
    if (operatorServer != null) {
      operatorServer.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
