package damsonworks.proxy;

import damsonworks.RoutingApi.ServiceClass;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** One real proxy: its sockets, their bounds and its end. */
public final class Proxy {
    /** Connections still come so long after SIGTERM, with some room for a slow machine. */
    private static final double LISTEN_ON_MS = 500;
    /** Descriptors that the JVM, the listening socket, discovery and peers need. */
    private static final int OWN_DESCRIPTORS = 64;
    private static final int BACKLOG = 512;
    private static final long SWEEP_MS = 200;
    /** What is read from a client at once: at first enough to see a flood of commands as one. */
    private static final int READ_BYTES = 8 << 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Config config;
    private final Dispatcher dispatcher;
    private final PeerSocket peers;
    private final DiscoveryClient discovery;
    private final Set<ClientConnection> clients = new HashSet<>();
    private final int maxClients;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Channel server;
    private double drainEndsMs;
    private double listenEndsMs;

    private Proxy(Config config) throws InterruptedException {
        this.config = config;
        dispatcher = new Dispatcher(loop, config);
        peers = new PeerSocket(loop, config, dispatcher);
        maxClients = Math.max(16, config.sockets() - config.sockets() / 3 - OWN_DESCRIPTORS);
        discovery = new DiscoveryClient(loop, config, dispatcher);
        loop.submit(() -> {
            new WarmUp(loop, config).run();
            dispatcher.start(discovery, peers, this::left);
            discovery.start();
            loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        }).syncUninterruptibly();
        server = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(READ_BYTES, READ_BYTES, 64 << 10))
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(64 << 10, 128 << 10))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                }).bind(config.listen()).sync().channel();
    }

    /** Runs a proxy by the configuration that the environment names, until SIGTERM. */
    public static void main() {
        String path = System.getenv("BALANCER_CONFIG");
        Config config;
        try {
            config = Config.read(path);
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
            return;
        }
        try {
            AtomicReference<Proxy> running = new AtomicReference<>();
            HangUp.handle(() -> {
                if (running.get() != null) { // before that, the file is still to be read
                    running.get().reload(path);
                }
            });
            Proxy proxy = start(config);
            running.set(proxy);
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::drain));
        } catch (Exception e) {
            System.err.println("can't listen on " + config.listen() + ": " + e.getMessage());
            System.exit(1);
        }
    }

    static Proxy start(Config config) throws InterruptedException {
        return new Proxy(config);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    InetSocketAddress peerAddress() {
        return peers.address();
    }

    // ---- a new configuration

    /**
     * Reads the file again, on the caller's thread, so that the event loop never waits for a disk. Discovery
     * moves; what sockets and tables were sized by at the start stays until the next one. A file that can't be
     * used leaves everything as it was.
     */
    void reload(String path) {
        try {
            Config next = Config.read(path);
            loop.execute(() -> discovery.move(next.discovery()));
            System.err.println("configuration read again: discovery at " + next.discovery());
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage() + " (going on with the old one)");
        }
    }

    // ---- clients

    /**
     * A connection that the kernel has accepted counts as taken, so where there are too many one makes room: of
     * those that never asked anything usable the oldest, and only then the one that has stood idle longest.
     * Guards usual clients' connections against those who connect by hundreds and say nothing.
     */
    private void accepted(Channel channel) {
        ClientConnection client = new ClientConnection(dispatcher);
        channel.pipeline().addLast(client);
        clients.add(client);
        if (clients.size() <= maxClients) {
            return;
        }
        ClientConnection first = null;
        for (ClientConnection c : clients) {
            if (c != client && (c.useless() || c.idle()) && (first == null
                    || (c.useless() == first.useless() ? c.activeMs() < first.activeMs() : c.useless()))) {
                first = c;
            }
        }
        if (first != null) {
            first.close();
        } else {
            server.config().setAutoRead(false);
        }
    }

    private void left(ClientConnection client) {
        clients.remove(client);
        if (clients.size() <= maxClients && !server.config().isAutoRead()) {
            server.config().setAutoRead(true);
        }
    }

    private void sweep() {
        double now = dispatcher.now();
        for (ClientConnection c : List.copyOf(clients)) {
            if (c.stalled(now)) {
                c.close();
            }
        }
    }

    // ---- the end

    /**
     * Goes on taking connections while they may still come, answers everything, ends each connection between
     * requests and returns when none is left or no answer could be in time any more.
     */
    void drain() {
        double longest = 0;
        for (ServiceClass c : config.settings().classes()) {
            longest = Math.max(longest, c.deadlineMs());
        }
        double wait = longest;
        loop.execute(() -> {
            listenEndsMs = dispatcher.now() + LISTEN_ON_MS;
            drainEndsMs = dispatcher.now() + LISTEN_ON_MS + wait + 150;
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
        if (now >= listenEndsMs) {
            dispatcher.drain();
            server.close();
            for (ClientConnection c : new ArrayList<>(clients)) {
                if (c.idle()) {
                    c.finish();
                }
            }
            if (clients.isEmpty() || now >= drainEndsMs) {
                ended.countDown();
                return;
            }
        }
        loop.schedule(this::drainOn, 20, TimeUnit.MILLISECONDS);
    }

    /** Ends at once; for tests. */
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
