package cacheproxy.proxy;

import cacheproxy.admin.ListenerTakeover;
import cacheproxy.limits.WarmUpBudget;
import cacheproxy.limits.WarmUpConvergence;
import cacheproxy.proxy.discovery.Endpoint;
import cacheproxy.proxy.peers.PeerSocket;
import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.ListKind;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.ServiceClass;
import cacheproxy.routing.RoutingApi.Settings;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Sends requests through the proxy's own code and sockets before the first client connects, until
 * the cost of a request no longer falls ({@link WarmUpConvergence}). Without it, an interpreting
 * JVM on part of a core can't keep up with the usual load after a start; late requests are retried,
 * and the retries add to the load. The requests cover hits, misses, the origin, writes, rejections,
 * failures, broken connections and clients that disconnect, as each runs code of its own. {@link
 * WarmUpBudget} bounds the time.
 */
final class WarmUp {
  private static final int MIN_REQUESTS = 600;
  private static final int PART = 24;
  private static final int BATCH = 4 * PART;
  private static final int CACHE_NODES = 8;
  private static final int ORIGIN_ID = CACHE_NODES + 1;

  /** Concurrent clients: enough that a client waiting for a timer does not delay the others. */
  private static final int CONCURRENT_CLIENTS = 4;

  /** Requests per client connection; opening and closing connections needs to be warmed up too. */
  private static final int REQUESTS_PER_CLIENT = 3;

  /**
   * One in this many requests is rejected as in an overload, because rejections must be fast first
   * of all.
   */
  private static final int REJECT_ONE_IN = 8;

  private static final String VALUE = "x".repeat(1024);

  private final EventLoop loop;
  private final Config config;
  private final ByteBufAllocator allocator;
  private final Dispatcher dispatcher;
  private final ConnectionAdmission admission;
  private final PeerSocket peers;
  private final WarmUpConvergence convergence = new WarmUpConvergence(BATCH, PART, MIN_REQUESTS);
  private final Set<WarmUpPeer> openConnections = new LinkedHashSet<>();
  private final Promise<Void> done;
  private final boolean predecessorServing;
  private WarmUpBudget budget;
  private long startNanos;
  private long lastNanos;
  private int requestsSent;

  /**
   * @param predecessorServing whether another process of this proxy serves meanwhile
   */
  WarmUp(
      EventLoop loop,
      Config config,
      ByteBufAllocator allocator,
      PeerSocket peers,
      boolean predecessorServing) {
    this.predecessorServing = predecessorServing;
    this.peers = peers;
    this.loop = loop;
    this.config = config;
    this.allocator = allocator;
    dispatcher = new Dispatcher(loop, config, this::connectToServer);
    admission = new ConnectionAdmission(loop, dispatcher);
    done = loop.newPromise();
  }

  /**
   * Runs the warm-up on the event loop. When the future completes, everything but the compiled code
   * is released.
   */
  Future<Void> run() {
    dispatcher.start(null, null, admission::clientDisconnected);
    dispatcher.simulateRejections(REJECT_ONE_IN);
    dispatcher.onEndpointList(ListKind.CHANGES, endpoints());
    admission.start(null);
    budget = new WarmUpBudget(dispatcher.now(), peers.hasPeers());
    if (predecessorServing) {
      budget.predecessorServes(ListenerTakeover.MAX_WARM_UP_MS);
    }
    pollPeers();
    endWhenBudgetIsUsed();
    startNanos = lastNanos = System.nanoTime();
    for (int i = 0; i < CONCURRENT_CLIENTS; i++) {
      new Client().connect();
    }
    return done;
  }

  private void pollPeers() {
    if (!done.isDone() && budget.takePoll()) {
      peers.askWhoServes(
          () -> {
            budget.peerServes();
            endWhenBudgetIsUsed();
          });
      loop.schedule(this::pollPeers, WarmUpBudget.POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Ends the warm-up when its time budget is used. Called again when the budget changes. */
  private void endWhenBudgetIsUsed() {
    double left = budget.remainingMs(dispatcher.now());
    if (left == 0) {
      end();
    } else if (!done.isDone()) {
      loop.schedule(this::endWhenBudgetIsUsed, (long) Math.ceil(left), TimeUnit.MILLISECONDS);
    }
  }

  private void end() {
    if (done.isDone()) {
      return;
    }
    done.setSuccess(null);
    admission.stop();
    List.copyOf(openConnections).forEach(WarmUpPeer::close);
    dispatcher.stop();
  }

  /** The number of connections that are not closed yet. */
  int openConnections() {
    return openConnections.size();
  }

  /** The result, for the log. */
  @Override
  public String toString() {
    return "warm-up: "
        + convergence.requests()
        + " requests in "
        + Math.round((lastNanos - startNanos) / 1e6)
        + " ms, "
        + (convergence.hasConverged()
            ? "settled at "
                + Math.round(convergence.bestNanosPerRequest().orElseThrow() / 1000)
                + " us"
            : "not settled");
  }

  private List<Endpoint> endpoints() {
    Settings settings = config.settings();
    int cacheKind = settings.originKind() == 0 && settings.kinds() > 1 ? 1 : 0;
    List<Endpoint> endpoints = new ArrayList<>();
    for (int id = 1; id <= (settings.cacheAside() ? ORIGIN_ID : CACHE_NODES); id++) {
      int endpointKind = id == ORIGIN_ID ? settings.originKind() : cacheKind;
      endpoints.add(
          new Endpoint(
              new Member(id, 0, endpointKind, 0, EndpointState.READY, 1, 0), config.listen()));
    }
    return endpoints;
  }

  private WarmUpPeer newPeer(WarmUpPeer.FarEnd farEnd) {
    WarmUpPeer peer = new WarmUpPeer(farEnd);
    openConnections.add(peer);
    return peer;
  }

  // ---- a client

  /**
   * A client that sends one request after the other. A client whose connection has ended is
   * replaced by another.
   */
  private final class Client implements WarmUpPeer.FarEnd {
    private int remainingRequests = REQUESTS_PER_CLIENT;
    private boolean connected;
    private boolean disconnectsEarly;

    void connect() {
      WarmUpPeer peer = newPeer(this);
      WarmUpPeer.open(
              loop,
              allocator,
              config.listen(),
              peer,
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                  admission.addClient(channel);
                }
              })
          .addListener(
              f -> {
                if (!f.isSuccess()) {
                  end(); // self-connected sockets are not available: start without a warm-up
                } else if (done.isDone()) {
                  peer.close();
                } else {
                  connected = true;
                  sendRequest(peer);
                }
              });
    }

    private void sendRequest(WarmUpPeer peer) {
      remainingRequests--;
      disconnectsEarly = ++requestsSent % 32 == 0;
      peer.send(request(requestsSent));
    }

    /** Some clients disconnect while their request is open. */
    @Override
    public void delivered(WarmUpPeer peer) {
      if (disconnectsEarly) {
        peer.close();
      }
    }

    @Override
    public void received(WarmUpPeer peer, String text) {
      if (done.isDone()) {
        return;
      }
      long now = System.nanoTime();
      convergence.recordRequest((double) (now - lastNanos));
      lastNanos = now;
      if (convergence.hasConverged()) {
        end();
      } else if (remainingRequests > 0) {
        sendRequest(peer);
      } else {
        peer.close();
      }
    }

    @Override
    public void closed(WarmUpPeer peer) {
      openConnections.remove(peer);
      if (connected && !done.isDone()) {
        new Client().connect();
      }
    }
  }

  private String request(int i) {
    List<ServiceClass> classes = config.settings().classes();
    boolean write = i % 12 == 11;
    String tenant =
        config.settings().tenants().isEmpty() ? "t" : config.settings().tenants().get(0).name();
    String flags =
        " Owarm"
            + i
            + " Pc="
            + classes.get(i % classes.size()).name()
            + ",t="
            + tenant
            + ",d=1000,k=1\r\n";
    String key = Integer.toHexString(i * 7919 + 1);
    return write ? "ms " + key + " 5" + flags + "value\r\n" : "mg " + key + " v" + flags;
  }

  // ---- a server

  private ChannelFuture connectToServer(InetSocketAddress address, ChannelHandler... handlers) {
    WarmUpPeer peer = newPeer(new Server());
    return WarmUpPeer.open(loop, allocator, config.listen(), peer, handlers)
        .addListener(
            f -> {
              if (f.isSuccess() && done.isDone()) {
                peer.close(); // opened by an attempt that was in flight when the warm-up ended
              }
            });
  }

  /** A cache node or the origin, depending on the protocol of the request. */
  private final class Server implements WarmUpPeer.FarEnd {
    private final StringBuilder received = new StringBuilder();
    private int answers;

    @Override
    public void received(WarmUpPeer peer, String text) {
      received.append(text);
      String answer = answer();
      if (answer != null) {
        received.setLength(0);
        if (answer.isEmpty()) { // simulates a broken connection
          peer.close();
        } else {
          peer.send(answer);
        }
      }
    }

    @Override
    public void closed(WarmUpPeer peer) {
      openConnections.remove(peer);
    }

    /**
     * Returns the answer; null if the request is incomplete, "" if the connection is to be closed.
     */
    private String answer() {
      int head = received.indexOf("\r\n");
      if (received.charAt(0) == 'm') {
        boolean write = received.charAt(1) == 's';
        int line = received.indexOf(" O") + 1;
        if (head < 0 || write && received.indexOf("\r\n", head + 2) < 0) {
          return null;
        }
        String id = MetaCodec.tokenAt(received.substring(0, head), line);
        int i = id.hashCode() & 31;
        answers++;
        return answers % 16 == 15
            ? ""
            : i == 1
                ? MetaCodec.BUSY + "\r\n"
                : i == 2
                    ? MetaCodec.FAILED
                    : write
                        ? "HD " + id + " cwarm\r\n"
                        : i < 8
                            ? "EN " + id + " h0\r\n"
                            : "VA " + VALUE.length() + " " + id + " h1\r\n" + VALUE + "\r\n";
      }
      boolean put = received.charAt(0) == 'P';
      int end = received.indexOf("\r\n\r\n");
      if (end < 0 || put && received.length() < end + 4 + 5) {
        return null;
      }
      answers++;
      return answers % 16 == 15
          ? ""
          : answers % 16 == 7
              ? "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
              : "HTTP/1.1 200 OK\r\nContent-Length: "
                  + (put ? "4\r\n\r\nwarm" : VALUE.length() + "\r\n\r\n" + VALUE);
    }
  }
}
