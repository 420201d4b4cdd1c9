package cacheproxy.proxy;

import cacheproxy.admin.ListenerTakeover;
import cacheproxy.proxy.peers.MemberLink;
import cacheproxy.proxy.peers.PeerSocket;
import cacheproxy.proxy.peers.SharedLink;
import cacheproxy.routing.RoutingApi.ServiceClass;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import java.util.ArrayList;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One real proxy: its sockets, their bounds and its end. */
public final class Proxy {
  private static final int BACKLOG = 512;
  private static final long SHARE_MS = 50;

  /** What is read from a client at once: at first enough to see a flood of commands as one. */
  private static final int READ_BYTES = 8 << 10;

  /**
   * What is read at once from a client that sends a lot: with all places taken, twice this each
   * must fit.
   */
  private static final int MOST_READ_BYTES = 16 << 10;

  /**
   * The program's exit code where its event loop has ended unplanned: nothing would serve any more.
   */
  private static final int LOOP_ENDED = 1;

  static {
    PlainLog.install(); // before any class of Netty's takes a logger
  }

  /**
   * So often a client is read before others have their turn. Guards the loop against those who send
   * at full speed, who could otherwise hold it for a megabyte each; a long value takes some turns
   * more.
   */
  private static final int READS_A_TURN = 2;

  private GuardedIo io;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, GuardedIo.factory(NioIoHandler.newFactory(), made -> io = made));
  private final EventLoop loop = group.next();
  private final Config config;
  private final Dispatcher dispatcher;
  private final PeerSocket peers;

  /** Null where the operator's file does not make it a member. */
  private volatile MemberLink members;

  /** Null where the operator's file has nothing shared. */
  private volatile SharedLink sharing;

  private final DiscoveryClient discovery;
  private final ConnectionAdmission door;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final Listener server;

  /** Null where the platform names no address for it. */
  private final ControlFront control;

  private final KnownNodeNames names;
  private volatile boolean ready;
  private volatile ListenerTakeover.Holds holds = new ListenerTakeover.Holds(1, 0, false);
  private volatile ListenerTakeover.Holds other = ListenerTakeover.Holds.NOTHING;
  private volatile int configsRead = 1;
  private volatile int configsRefused;
  private double drainEndsMs;
  private double toldMs;
  private double idleEndsMs;
  private volatile double longestMs;

  private Proxy(Config config, ByteBufAllocator allocator, LifecycleSignals<Proxy> begun)
      throws InterruptedException, IOException {
    this.config = config;
    names = config.control() == null ? null : new KnownNodeNames();
    dispatcher = new Dispatcher(loop, config, allocator);
    peers = new PeerSocket(loop, config.peerAddresses(), dispatcher);
    door = new ConnectionAdmission(loop, dispatcher);
    discovery = new DiscoveryClient(loop, config, dispatcher, names);
    control =
        config.control() == null
            ? null
            : new ControlFront(config.control(), config.shared(), new Desk());
    if (control != null) {
      discovery.nameKnown();
      other = control.begunBeside();
      control.follow();
    }
    if (config.membership() != null) {
      if (peers.hasPeers() && config.settings().me() < config.peers().size()) {
        loop.submit(
                () ->
                    members =
                        new MemberLink(
                            loop,
                            peers,
                            config.peers().size(),
                            config.settings().me(),
                            config.membership(),
                            config.seed(),
                            dispatcher::log))
            .syncUninterruptibly();
        discovery.tierBy(members);
        boolean another = !other.equals(ListenerTakeover.Holds.NOTHING);
        loop.execute(() -> members.beside(another));
      } else {
        dispatcher.log(
            "membership: the configuration names no peers, or not this proxy among them; it stays off");
      }
    }
    WarmUp warmUp = new WarmUp(loop, config, allocator, peers, other.serves());
    loop.submit(warmUp::run).syncUninterruptibly().getNow().awaitUninterruptibly();
    dispatcher.log(warmUp.toString());
    loop.submit(
            () -> {
              if (dispatcher.budget() != null) {
                io.watch(new LoopWatch(dispatcher));
              }
              dispatcher.start(discovery, peers, door::left);
              if (members != null && config.tier() != null) {
                sharing =
                    new SharedLink(
                        loop, peers, members, config.tier(), config.seed(), new Sharer());
                dispatcher.share(sharing.tier());
                sharing.setOverlapping(!other.equals(ListenerTakeover.Holds.NOTHING));
              }
              discovery.listenTo(peers);
              discovery.start();
              if (control != null) {
                share();
              }
            })
        .syncUninterruptibly();
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> new Listener(door))
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(
                new ChannelInboundHandlerAdapter() {
                  @Override
                  public void channelReadComplete(ChannelHandlerContext ctx) {
                    door.batchEnded();
                    ctx.fireChannelReadComplete();
                  }
                })
            .childOption(ChannelOption.ALLOCATOR, allocator) // Netty sets TCP_NODELAY by itself
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(READ_BYTES, READ_BYTES, MOST_READ_BYTES)
                    .maxMessagesPerRead(READS_A_TURN))
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(64 << 10, 128 << 10))
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    door.enter(channel);
                  }
                });
    if (control
        != null) { // a new version of this program may be started beside it, at the same address
      bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
    }
    if (!begun.listen()) {
      new CountDownLatch(1).await(); // the program is ending, and nobody knows of it yet
    }
    server = (Listener) bootstrap.bind(config.listen()).sync().channel();
    server
        .config()
        .<ServerChannelRecvByteBufAllocator>getRecvByteBufAllocator()
        .maxMessagesPerRead(ConnectionAdmission.batch());
    loop.submit(
            () -> {
              door.open(server);
              peers.serving();
              server.config().setAutoRead(true);
            })
        .syncUninterruptibly();
    ready = true;
  }

  /** The one that calls the module, for what its tier shares. */
  private final class Sharer implements SharedLink.Caller {
    @Override
    public double now() {
      return dispatcher.now();
    }

    @Override
    public void verdictReceived(int server, boolean excluded) {
      dispatcher.word(server, excluded);
    }

    @Override
    public void log(String line) {
      dispatcher.log(line);
    }
  }

  /** What operators' calls come to. */
  private final class Desk implements ControlFront.Desk {
    @Override
    public boolean ready() {
      return ready;
    }

    @Override
    public void stats(Consumer<String> then) {
      loop.execute(() -> then.accept(dispatcher.figures(configsRead, configsRefused)));
    }

    @Override
    public boolean members(Consumer<String> then) {
      if (members == null) {
        return false;
      }
      loop.execute(() -> then.accept(members.json()));
      return true;
    }

    @Override
    public boolean shared(Consumer<String> then) {
      if (sharing == null) {
        return false;
      }
      loop.execute(() -> then.accept(sharing.json()));
      return true;
    }

    @Override
    public boolean listed(String node) {
      return names.contains(node);
    }

    @Override
    public void out(Set<String> nodes, Runnable then) {
      loop.execute(
          () -> {
            dispatcher.byHand(nodes);
            then.run();
          });
    }

    @Override
    public ListenerTakeover.Holds holds() {
      return holds;
    }

    @Override
    public void beside(ListenerTakeover.Holds holds) {
      other = holds;
      if (members != null) {
        loop.execute(() -> members.beside(!holds.equals(ListenerTakeover.Holds.NOTHING)));
      }
      if (sharing != null) {
        loop.execute(() -> sharing.setOverlapping(!holds.equals(ListenerTakeover.Holds.NOTHING)));
      }
    }
  }

  /**
   * Tells another process of this proxy what this one holds, and makes room for what that one does.
   */
  private void share() {
    // It holds something at least: who holds nothing is not there.
    holds =
        new ListenerTakeover.Holds(Math.max(1, door.inUse()), dispatcher.upstreamInUse(), ready);
    dispatcher.reserveUpstream(other);
    door.reserve(config.sockets(), other);
    loop.schedule(this::share, SHARE_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a proxy by the configuration that the environment names, until SIGTERM.
   *
   * @param settings the operator's file; null: none, and nothing that reads one is loaded
   */
  public static void main(String settings) {
    String path = System.getenv("BALANCER_CONFIG");
    LifecycleSignals<Proxy> begun = new LifecycleSignals<>();
    Config config;
    try {
      HangupSignal.handle(
          () ->
              begun.hangUp(
                  p ->
                      p.reload(
                          path))); // before the file is read: it may be replaced right after that
      config = Config.read(path);
      if (settings != null) {
        config = OperatorSettings.read(settings, config);
      }
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.exit(2);
      return;
    } catch (ReflectiveOperationException e) {
      System.err.println("can't take SIGHUP: " + e);
      System.exit(1);
      return;
    }
    try {
      // Before anything listens: from the first connection on a signal finds somebody who knows
      // what to do.
      Runtime.getRuntime()
          .addShutdownHook(
              new Thread(
                  () -> {
                    Proxy proxy = begun.end();
                    if (proxy != null) {
                      proxy.drain();
                    }
                  }));
      Proxy proxy = new Proxy(config, ByteBufAllocator.DEFAULT, begun);
      begun.runs(proxy, p -> p.reload(path));
      proxy.endWithLoop();
    } catch (Throwable e) {
      begun.runs(null, p -> {});
      System.err.println("can't listen on " + config.listen() + ": " + e);
      System.exit(1);
    }
  }

  static Proxy start(Config config) throws InterruptedException, IOException {
    return start(config, ByteBufAllocator.DEFAULT);
  }

  /** With clients' and servers' buffers from this allocator. */
  static Proxy start(Config config, ByteBufAllocator allocator)
      throws InterruptedException, IOException {
    return new Proxy(config, allocator, new LifecycleSignals<>());
  }

  /**
   * A program whose loop has ended serves nobody: it ends too, and not as if that had been planned.
   */
  void endWithLoop() {
    group
        .terminationFuture()
        .addListener(
            f -> {
              System.err.println("the event loop has ended unplanned");
              Runtime.getRuntime().halt(LOOP_ENDED);
            });
  }

  InetSocketAddress address() {
    return server.localAddress();
  }

  InetSocketAddress peerAddress() {
    return peers.address();
  }

  // ---- a new configuration

  /**
   * Reads the file again, on the caller's thread, so that the event loop never waits for a disk.
   * Discovery moves; what sockets and tables were sized by at the start stays until the next one. A
   * file that can't be used leaves everything as it was.
   */
  void reload(String path) {
    try {
      Config next = Config.read(path);
      loop.execute(() -> discovery.move(next.discovery()));
      configsRead++;
      System.err.println("configuration read again: discovery at " + next.discovery());
    } catch (IllegalArgumentException e) {
      configsRefused++;
      System.err.println(e.getMessage() + " (going on with the old one)");
    }
  }

  // ---- the end

  /**
   * Goes on taking connections while they may still come, answers everything, ends each connection
   * between requests and returns when none is left or no answer could be in time any more.
   */
  void drain() {
    double longest = 0;
    for (ServiceClass c : config.settings().classes()) {
      longest = Math.max(longest, c.deadlineMs());
    }
    longestMs = longest;
    ready = false;
    loop.execute(
        () -> {
          toldMs = dispatcher.now();
          idleEndsMs = Double.POSITIVE_INFINITY;
          drainEndsMs = Double.POSITIVE_INFINITY;
          if (members != null
              && other.equals(
                  ListenerTakeover.Holds.NOTHING)) { // with another process here, the member stays
            members.leaving();
          }
          dispatcher.answerBy(toldMs + ListenerTakeover.answeredMs(longestMs));
          drainOn();
        });
    try {
      ended.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void drainOn() {
    double now = dispatcher.now();
    boolean listens = ListenerTakeover.listens(now - toldMs, other);
    if (!dispatcher.draining() && (other.serves() || !listens)) {
      dispatcher.drain(now, ListenerTakeover.leaveMs(other));
      idleEndsMs = now + ListenerTakeover.idleMs(other);
      drainEndsMs = idleEndsMs + ListenerTakeover.countedMs(longestMs) + 150;
    }
    if (!listens && server.isOpen()) {
      server.closeEmpty(BACKLOG / ConnectionAdmission.batch());
    }
    if (now >= idleEndsMs) {
      for (ClientConnection c : new ArrayList<>(door.clients())) {
        if (c.idle() && !c.lastLook()) { // what it has asked meanwhile is answered first
          c.finish();
        }
      }
      if (door.clients().isEmpty() && !server.isOpen() || now >= drainEndsMs) {
        ended.countDown();
        return;
      }
    }
    loop.schedule(this::drainOn, 20, TimeUnit.MILLISECONDS);
  }

  /** For tests, which may not look at what the loop owns from another thread without it. */
  ConnectionAdmission door() {
    return door;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  EventLoop loop() {
    return loop;
  }

  /** Null where operators can't call. */
  ControlFront control() {
    return control;
  }

  /** Ends at once; for tests. */
  void close() throws IOException {
    if (control != null) {
      control.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
