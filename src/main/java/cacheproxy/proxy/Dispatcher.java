package cacheproxy.proxy;

import cacheproxy.admin.ListenerTakeover;
import cacheproxy.admin.Metrics;
import cacheproxy.admin.ProcessStatus;
import cacheproxy.limits.ByteAccounts;
import cacheproxy.limits.DisconnectCounters;
import cacheproxy.limits.Limits;
import cacheproxy.overload.CpuLoadShedder;
import cacheproxy.proxy.Exchange.Attempt;
import cacheproxy.proxy.Exchange.Command;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.Endpoint;
import cacheproxy.proxy.peers.PeerSocket;
import cacheproxy.routing.Policy;
import cacheproxy.routing.RoutingApi;
import cacheproxy.routing.RoutingApi.Actions;
import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.Idempotency;
import cacheproxy.routing.RoutingApi.ListKind;
import cacheproxy.routing.RoutingApi.LoadReportSource;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Request;
import cacheproxy.routing.RoutingApi.RequestSummary;
import cacheproxy.routing.RoutingApi.ServiceClass;
import cacheproxy.routing.RoutingApi.Settings;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.collection.IntObjectHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Connects the routing policy with clients, upstream servers, discovery and the other proxies. It
 * alone calls the policy, and it carries out the actions that the policy orders. It owns the state
 * of requests and attempts: each attempt ends exactly once, and each request gets exactly one final
 * answer. Everything runs on the event loop. The policy is never called from within one of its own
 * actions; events that occur meanwhile are queued until it has returned.
 */
final class Dispatcher implements Actions, PeerSocket.Receiver {
  /**
   * A request that the policy has not answered this long after its deadline is answered as failed.
   */
  private static final double UNANSWERED_GRACE_MS = 10;

  private static final double PROBE_TIMEOUT_MS = 250;

  /**
   * Idle upstream connections are closed after this fraction of the servers' own idle timeout, so
   * that no request is sent on a connection that the server is closing.
   */
  private static final double IDLE_CLOSE_FRACTION = 0.7;

  private static final long SWEEP_MS = 50;

  /**
   * The final answer is sent this long before the client's timeout, because a client that has
   * already given up cannot tell a late answer from none. This absorbs delays of the event loop; an
   * upstream response that arrives within the margin is lost.
   */
  private static final double ANSWER_MARGIN_MS = 20;

  private static final int MAX_LOG_LINES_PER_MINUTE = 40;

  /**
   * Connections that were closed in this iteration of the event loop may hold this many descriptors
   * above the bound. Without the limit, each attempt of one iteration could close an idle
   * connection and open another while the closed ones still hold their descriptors.
   */
  private static final int MAX_CLOSING_DESCRIPTORS = 16;

  /**
   * The fractional part of the golden ratio. The fractional parts of its multiples are spread
   * evenly over 0 to 1.
   */
  private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

  /**
   * Writes to standard error, with a bounded number of lines per minute so that long runs stay
   * readable.
   */
  private final PlainLog log = new PlainLog(System.err, MAX_LOG_LINES_PER_MINUTE);

  /**
   * The load shedder's report has a log of its own, so that a flood of other lines does not
   * suppress it.
   */
  private final PlainLog loadShedderLog = new PlainLog(System.err, MAX_LOG_LINES_PER_MINUTE);

  private final EventLoop loop;
  private final Timers timers;
  private final Config config;
  private final Settings settings;
  private final Map<String, Integer> classIndexes = new HashMap<>();
  private final Map<String, Integer> tenantIndexes = new HashMap<>();
  private final IntObjectHashMap<Exchange> exchanges = new IntObjectHashMap<>();

  /** The policy's timers that have not run yet, by token. */
  private final IntObjectHashMap<Timers.Timer> policyTimers = new IntObjectHashMap<>();

  private final IntObjectHashMap<Upstream> upstreams = new IntObjectHashMap<>();

  /** Servers that are no longer listed, kept until their last connection is closed. */
  private final Set<Upstream> retiredUpstreams = new HashSet<>();

  private final RequestIds requestIds = new RequestIds();

  private final ArrayDeque<Runnable> pendingPolicyCalls = new ArrayDeque<>();
  private final Upstream.Dialer dialer;
  private final double startUnixMs = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();
  private final Limits limits;
  private final ByteAccounts accounts;
  private final DisconnectCounters disconnectCounters = new DisconnectCounters();
  private final int maxUpstreamConnections;
  private final Metrics metrics;

  /** Rejects requests that the processor has no time for; null if load shedding is off. */
  private final CpuLoadShedder loadShedder;

  private Set<String> manuallyEjected = Set.of();
  private Policy policy;
  private DiscoveryClient discovery;
  private PeerSocket peers;
  private ClientListener listener;
  private Future<?> sweepTask;
  private boolean stopped;
  private boolean inPolicyCall;
  private boolean draining;
  private double drainStartMs;
  private double drainDurationMs;
  private double lastDrainFraction;
  private double latestDeadlineMs = Double.POSITIVE_INFINITY;
  private int nextId;
  private int simulatedRejectionInterval;
  private int checkedRequests;
  private int openUpstreamConnections;
  private int closingUpstreamDescriptors;
  private int reservedUpstreamConnections;

  /** Receives notifications of clients that have disconnected. */
  interface ClientListener {
    void clientDisconnected(ClientConnection client);
  }

  Dispatcher(EventLoop loop, Config config, ByteBufAllocator allocator) {
    this(
        loop,
        config,
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator) // Netty sets TCP_NODELAY by default
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) config.settings().connectTimeoutMs()));
  }

  private Dispatcher(EventLoop loop, Config config, Bootstrap bootstrap) {
    this(
        loop,
        config,
        (to, handlers) -> bootstrap.clone().handler(new HandlerInitializer(handlers)).connect(to));
  }

  Dispatcher(EventLoop loop, Config config, Upstream.Dialer dialer) {
    this.loop = loop;
    timers = new Timers(loop);
    this.config = config;
    settings = config.settings();
    for (ServiceClass c : settings.classes()) {
      classIndexes.put(c.name(), classIndexes.size());
    }
    settings.tenants().forEach(t -> tenantIndexes.put(t.name(), tenantIndexes.size()));
    limits = config.limits();
    accounts = new ByteAccounts(limits.bounds());
    maxUpstreamConnections = config.sockets() / 3;
    metrics = new Metrics(settings.classes().stream().map(ServiceClass::name).toList());
    this.dialer = dialer;
    loadShedder =
        config.sheddingTargetDelayMs() == 0
            ? null
            : new CpuLoadShedder(
                config.sheddingTargetDelayMs() > 0
                    ? config.sheddingTargetDelayMs()
                    : CpuLoadShedder.targetDelayMs(
                        settings.classes().stream()
                            .mapToDouble(ServiceClass::latencyObjectiveMs)
                            .min()
                            .orElseThrow()));
  }

  /**
   * Starts the routing policy and the periodic sweep. Discovery and the peer socket are used from
   * this call on.
   */
  void start(DiscoveryClient client, PeerSocket socket, ClientListener clients) {
    discovery = client;
    peers = socket;
    listener = clients;
    policy = new Policy(settings, config.seed());
    manuallyEjected.forEach(
        node -> policy.onManualEjection(now(), Endpoint.memberId(node), true, this));
    sweepTask = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /** The ids of requests, as given by clients. */
  RequestIds requestIds() {
    return requestIds;
  }

  /** Gives the policy access to the state that the tier of proxies shares. */
  void useTier(RoutingApi.Tier tier) {
    callPolicy(() -> policy.useTier(tier));
  }

  /**
   * Passes on another proxy's verdict on a server's health. If the policy is running, the call is
   * deferred until it has returned.
   */
  void onGossipedHealth(int server, boolean excluded) {
    callPolicy(() -> policy.onGossipedHealth(now(), server, excluded, this));
  }

  /**
   * Stops the sweep and the policy's timers. Used after a warm-up, which runs on a dispatcher of
   * its own.
   */
  void stop() {
    stopped = true;
    sweepTask.cancel(false);
  }

  /**
   * The current Unix time in milliseconds. It is read from the system clock once, at the start, and
   * advances monotonically from there, so it is comparable with the timestamps of the endpoint
   * list.
   */
  double now() {
    return startUnixMs + (System.nanoTime() - startNanos) / 1e6;
  }

  List<String> reportNames() {
    return settings.reportNames();
  }

  float[] parseLoadReport(String list) {
    return settings.loadReportSource() == LoadReportSource.WITH_ANSWERS
        ? MetaCodec.parseLoadReport(list, settings.reportNames())
        : null;
  }

  boolean probesLoad() {
    return settings.loadReportSource() == LoadReportSource.BY_PROBE;
  }

  // ---- limits, metrics and load shedding

  Limits limits() {
    return limits;
  }

  ByteAccounts accounts() {
    return accounts;
  }

  DisconnectCounters disconnectCounters() {
    return disconnectCounters;
  }

  /** The load shedder; null if load shedding is off. */
  CpuLoadShedder loadShedder() {
    return loadShedder;
  }

  /**
   * Returns the error line for a request that the processor has no time for, decided before other
   * work is spent on it. Null if the request is admitted or is malformed, in which case validation
   * reports the error.
   */
  String overloadRejection(Command command) {
    if (loadShedder == null || policy == null) {
      return null;
    }
    double now = now();
    double rejectionRatio = orSimulated(loadShedder.rejectionRatio(now));
    if (rejectionRatio == 0) {
      return null;
    }
    Integer serviceClass =
        classIndexes.get(String.valueOf(MetaCodec.parameter(command.extras, "c")));
    Integer tenant =
        tenantIndexes.isEmpty()
            ? Integer.valueOf(0)
            : tenantIndexes.get(String.valueOf(MetaCodec.parameter(command.extras, "t")));
    double timeBudgetMs = numericExtra(command, "d", 0);
    if (serviceClass == null || tenant == null || !(timeBudgetMs > 0)) {
      return null; // validation rejects the command with an error
    }
    double retryAfterMs =
        policy.rejectForOverload(
            now,
            new RequestSummary(
                serviceClass,
                tenant,
                "1".equals(MetaCodec.parameter(command.extras, "r")),
                loadShedder.queueDelayMs(now),
                timeBudgetMs),
            rejectionRatio);
    if (retryAfterMs == RoutingApi.ADMITTED) {
      return null;
    }
    metrics.requestEnded(serviceClass, Metrics.Result.REJECTED);
    return busyLine(retryAfterMs);
  }

  /**
   * Rejects one request in {@code oneIn}, regardless of the load, to exercise the rejection path
   * during a warm-up.
   */
  void simulateRejections(int oneIn) {
    simulatedRejectionInterval = oneIn;
  }

  private double orSimulated(double rejectionRatio) {
    return simulatedRejectionInterval > 0
        ? ++checkedRequests % simulatedRejectionInterval == 0 ? 1 : 0
        : rejectionRatio;
  }

  /**
   * The error line of a rejection, with Retry-After advice if there is any and the settings allow
   * it.
   */
  private String busyLine(double retryAfterMs) {
    boolean withAdvice = retryAfterMs >= 1 && settings.mayAdviseRetryAfter();
    return withAdvice ? MetaCodec.BUSY + " " + Math.round(retryAfterMs) : MetaCodec.BUSY;
  }

  /**
   * Whether one more upstream connection may be opened. At the bound, the connection that has been
   * idle longest is closed first; otherwise a newly listed server might never get one.
   */
  boolean mayOpenUpstreamConnection() {
    if (upstreamDescriptors() >= maxUpstreamConnections()) {
      UpstreamConnection longest = null;
      for (Upstream upstream : upstreams.values()) {
        UpstreamConnection connection = upstream.longestIdle();
        if (connection != null
            && (longest == null || connection.idleSinceMs() < longest.idleSinceMs())) {
          longest = connection;
        }
      }
      if (longest != null) {
        longest.close();
      }
    }
    return upstreamDescriptors() < maxUpstreamConnections() + MAX_CLOSING_DESCRIPTORS;
  }

  private int maxUpstreamConnections() {
    return maxUpstreamConnections - reservedUpstreamConnections;
  }

  /**
   * Leaves part of the upstream descriptors to another process of this proxy during a takeover.
   * Connections above the reduced bound are closed when further ones are opened.
   */
  void reserveUpstreamConnections(ProcessStatus other) {
    reservedUpstreamConnections =
        ListenerTakeover.reservedServerConnections(maxUpstreamConnections, other);
  }

  /** The number of attempts without an outcome. For tests. */
  int attemptsInFlight() {
    return exchanges.values().stream().mapToInt(x -> x.attemptsInFlight).sum();
  }

  /** The number of timers that have not run and are not stopped. For tests. */
  int pendingTimers() {
    return timers.pending();
  }

  /** The number of requests without a final answer. */
  int openRequests() {
    return requestIds.openCount();
  }

  /**
   * The number of descriptors that upstream connections use. A closed connection counts until the
   * selector has released its descriptor, in the next iteration of the event loop.
   */
  int upstreamDescriptors() {
    return openUpstreamConnections + closingUpstreamDescriptors;
  }

  void upstreamConnectionOpened() {
    openUpstreamConnections++;
  }

  void upstreamConnectionClosed() {
    openUpstreamConnections--;
    closingUpstreamDescriptors++;
    loop.execute(() -> closingUpstreamDescriptors--);
  }

  /** Counters of request results. They are incremented here and where answers are sent. */
  Metrics metrics() {
    return metrics;
  }

  /** The metrics for operators, as JSON. */
  String metrics(int read, int refused) {
    RoutingApi.EndpointCounts counts =
        policy == null ? new RoutingApi.EndpointCounts(0, 0) : policy.endpointCounts(now());
    return metrics.toJson(
        new Metrics.Gauges(
            requestIds.openCount(), counts.listed(), counts.unavailable(), read, refused));
  }

  /** Replaces the set of nodes that operators have ejected. */
  void ejectManually(Set<String> nodes) {
    Set<String> before = manuallyEjected;
    manuallyEjected = Set.copyOf(nodes);
    if (policy == null) {
      return; // start() passes the set to the policy
    }
    for (String node : manuallyEjected) {
      if (!before.contains(node)) {
        log("taken out by hand: " + node);
        callPolicy(() -> policy.onManualEjection(now(), Endpoint.memberId(node), true, this));
      }
    }
    for (String node : before) {
      if (!manuallyEjected.contains(node)) {
        log("back in use by hand: " + node);
        callPolicy(() -> policy.onManualEjection(now(), Endpoint.memberId(node), false, this));
      }
    }
  }

  boolean draining() {
    return draining;
  }

  /** Starts a drain: client connections are closed over this time, each after an answer. */
  void drain(double nowMs, double overMs) {
    draining = true;
    drainStartMs = nowMs;
    drainDurationMs = overMs;
  }

  /**
   * Whether a connection with this drain fraction, from 0 to 1, is to be closed after its current
   * answer.
   */
  boolean shouldCloseForDrain(double fraction) {
    return draining && now() >= drainStartMs + fraction * drainDurationMs;
  }

  /**
   * Returns the drain fraction for a new connection. Successive values cover 0 to 1 evenly, so that
   * a drain closes connections at an even rate.
   */
  double nextDrainFraction() {
    lastDrainFraction += GOLDEN_RATIO_FRACTION;
    return lastDrainFraction -= Math.floor(lastDrainFraction);
  }

  /**
   * Caps the deadlines of current and future requests at this time, because the process ends soon
   * after it.
   */
  void capDeadlines(double latestMs) {
    latestDeadlineMs = latestMs;
    for (Exchange exchange : List.copyOf(exchanges.values())) {
      if (exchange.dueMs > latestMs && !exchange.finished && exchange.streamedResponse == null) {
        exchange.dueMs = latestMs;
        stop(exchange.deadlineTimer);
        exchange.deadlineTimer = after(latestMs - now(), () -> onDeadline(exchange));
      }
    }
  }

  void clientDisconnected(ClientConnection client) {
    listener.clientDisconnected(client);
  }

  /** Logs every exception, because a repeating task that throws is not scheduled again. */
  private void sweep() {
    try {
      sweep(now());
    } catch (Throwable e) {
      logFault(e);
    }
  }

  private void sweep(double now) {
    if (loadShedder != null && simulatedRejectionInterval <= 0) {
      loadShedder.pollReport(now).ifPresent(line -> loadShedderLog.writeLine(line, null));
    }
    for (Upstream upstream : upstreams.values()) {
      upstream.closeIdle(now - config.idleCloseMs() * IDLE_CLOSE_FRACTION);
      upstream.sweep(now);
    }
    retiredUpstreams.forEach(upstream -> upstream.sweep(now));
    retiredUpstreams.removeIf(Upstream::isEmpty);
  }

  // ---- policy calls

  /** Runs a call of the policy now or, if the policy is running, after it has returned. */
  private void callPolicy(Runnable call) {
    if (inPolicyCall) {
      pendingPolicyCalls.add(call);
      return;
    }
    inPolicyCall = true;
    try {
      for (Runnable r = call; r != null; r = pendingPolicyCalls.poll()) {
        try {
          r.run();
        } catch (Throwable e) {
          logFault(e);
        }
      }
    } finally {
      inPolicyCall = false;
    }
  }

  /**
   * Logs an exception. It must not throw, not even when memory is exhausted, because it is the last
   * handler before the event loop.
   */
  void logFault(Throwable e) {
    StackTraceElement[] trace = e.getStackTrace();
    log.writeLine(trace.length > 0 ? "fault at " + trace[0] : "fault", e);
  }

  /**
   * Runs a call of the policy for a request. If the call throws, this request is answered as failed
   * and other requests are not affected.
   */
  private void failOnThrow(Exchange exchange, Runnable call) {
    try {
      call.run();
    } catch (Throwable e) {
      logFault(e);
      finish(exchange, MetaCodec.FAILED);
    }
  }

  void onEndpointList(ListKind kind, List<Endpoint> endpoints) {
    List<Upstream> unavailable = new ArrayList<>();
    for (Endpoint endpoint : endpoints) {
      int id = endpoint.member().id();
      Upstream upstream = upstreams.get(id);
      if (upstream != null && endpoint.member().state() != EndpointState.READY) {
        unavailable.add(upstream);
      }
      if (endpoint.member().state() == EndpointState.GONE) {
        removeUpstream(id);
        continue;
      }
      if (upstream == null) {
        boolean origin = settings.cacheAside() && endpoint.member().kind() == settings.originKind();
        int maxConnections = origin ? maxOriginConnections() : maxCacheConnections();
        upstream =
            new Upstream(
                id,
                origin,
                this,
                dialer,
                maxConnections,
                origin ? maxConnections : maxCacheConnectionsWithStreams(),
                origin ? 1 : config.streamsPerConnection());
        upstreams.put(id, upstream);
      }
      if (!endpoint.address().equals(upstream.address)
          || upstream.startedMs != endpoint.member().startedMs()) {
        // Its connections lead to another server or to an earlier start of this one.
        upstream.retire();
        unavailable.add(upstream);
      }
      upstream.address = endpoint.address();
      upstream.startedMs = endpoint.member().startedMs();
    }
    if (kind == ListKind.FULL || kind == ListKind.CACHED) {
      Set<Integer> listedIds = new HashSet<>();
      endpoints.forEach(endpoint -> listedIds.add(endpoint.member().id()));
      for (Integer id : List.copyOf(upstreams.keySet())) {
        if (!listedIds.contains(id)) {
          unavailable.add(upstreams.get(id));
          removeUpstream(id);
        }
      }
    }
    callPolicy(
        () -> policy.onList(now(), kind, endpoints.stream().map(Endpoint::member).toList(), this));
    // After onList, so that the policy chooses other servers by the new list.
    unavailable.forEach(Upstream::failUnsent);
  }

  private void removeUpstream(int id) {
    Upstream upstream = upstreams.remove(id);
    if (upstream != null) {
      upstream.retire();
      retiredUpstreams.add(upstream);
    }
  }

  /**
   * The limit on connections to one cache node. A server accepts about 40 connections from all
   * proxies together, and fewer where there are many proxies; each proxy then uses one. Every
   * further connection costs the server capacity, while requests on a shared connection hardly wait
   * for one another when a proxy sends one or two per second.
   */
  private int maxCacheConnections() {
    int each = 28 / Math.max(1, settings.instances());
    return each < 3 ? 1 : Math.min(4, each);
  }

  private int maxCacheConnectionsWithStreams() {
    return Math.max(
        maxCacheConnections() + 1, Math.min(12, 40 / Math.max(1, settings.instances())));
  }

  private int maxOriginConnections() {
    return Math.max(4, Math.min(48, 240 / Math.max(1, settings.instances())));
  }

  @Override
  public void onMessage(int peer, byte[] message) {
    if (policy == null) {
      return; // not started yet; peers repeat what a lost datagram said
    }
    callPolicy(() -> policy.onPeerMessage(now(), peer, message, this));
  }

  /**
   * Returns the error for a command that is not a valid request; null if it is valid. Ensures that
   * the policy never gets a number that could not be parsed.
   */
  String validationError(Command command) {
    Integer serviceClass =
        classIndexes.get(String.valueOf(MetaCodec.parameter(command.extras, "c")));
    if (serviceClass == null) {
      return "unknown class";
    }
    if (!tenantIndexes.isEmpty()
        && !tenantIndexes.containsKey(String.valueOf(MetaCodec.parameter(command.extras, "t")))) {
      return "unknown tenant";
    }
    if (!(numericExtra(command, "d", Double.NaN) >= 0)) {
      return "bad deadline";
    }
    if (Double.isNaN(numericExtra(command, "h", 0))
        || Double.isNaN(numericExtra(command, "size", 0))) {
      return "bad figure";
    }
    if (command.write
        && settings.classes().get(serviceClass).idempotency() == Idempotency.IDEMPOTENCY_KEY
        && MetaCodec.parameter(command.extras, "k") == null) {
      return "no idempotency key";
    }
    return requestIds.validationError(now(), command.id);
  }

  /**
   * Returns the error line for a request without any time left; null if it has time. A client that
   * retries with less than a millisecond left sends {@code d=0}, and a process about to end cannot
   * answer in time. Nothing is sent upstream for such a request.
   */
  String deadlineRejection(Command command) {
    if (numericExtra(command, "d", 0) > 0 && now() < latestDeadlineMs) {
      return null;
    }
    metrics.requestEnded(
        classIndexes.get(MetaCodec.parameter(command.extras, "c")), Metrics.Result.REJECTED);
    return MetaCodec.BUSY;
  }

  /**
   * The time in milliseconds within which an invalid command must get its error; infinite if there
   * is no deadline. Of two commands with the same id the later one may be the genuine request, so
   * it is answered within its client's timeout.
   */
  double errorDueWithinMs(Command command, String error) {
    double timeBudgetMs =
        RequestIds.isError(error) ? numericExtra(command, "d", 0) : Double.POSITIVE_INFINITY;
    return timeBudgetMs - Math.min(ANSWER_MARGIN_MS, timeBudgetMs / 10);
  }

  /**
   * Accepts a valid request that has been read completely and passes it to the policy. It gets
   * exactly one answer.
   */
  void submit(Exchange exchange) {
    Command command = exchange.command;
    double now = now();
    String idError = requestIds.validationError(now, command.id);
    if (idError != null) {
      // A request with this id was accepted after this one had been validated.
      exchange.finished = true;
      exchange.client.releaseCommand(exchange.command);
      exchange.client.answer(
          exchange,
          MetaCodec.asciiBuffer(
              UnpooledByteBufAllocator.DEFAULT, "CLIENT_ERROR " + idError + "\r\n"),
          null);
      return;
    }
    int classIndex = classIndexes.get(MetaCodec.parameter(command.extras, "c"));
    exchange.classIndex = classIndex;
    int tenantIndex =
        tenantIndexes.isEmpty() ? 0 : tenantIndexes.get(MetaCodec.parameter(command.extras, "t"));
    double timeBudgetMs = numericExtra(command, "d", 0);
    double waitedMs = 0;
    if (loadShedder != null) {
      loadShedder.recordAdmitted();
      waitedMs = Math.min(timeBudgetMs, loadShedder.queueDelayMs(now));
    }
    timeBudgetMs -= Math.min(ANSWER_MARGIN_MS, timeBudgetMs / 10) + waitedMs;
    timeBudgetMs = Math.max(1, Math.min(timeBudgetMs, latestDeadlineMs - now));
    exchange.id = nextId++;
    Idempotency effect = settings.classes().get(classIndex).idempotency();
    exchange.notIdempotent = effect == Idempotency.NOT_IDEMPOTENT;
    exchange.idempotent = effect == Idempotency.IDEMPOTENT;
    exchange.dueMs = now + timeBudgetMs;
    exchanges.put(exchange.id, exchange);
    requestIds.accepted(now, command.id, exchange.idempotent);
    double costHintUs = numericExtra(command, "h", Double.NaN);
    Request request =
        new Request(
            exchange.id,
            classIndex,
            tenantIndex,
            routingKey(command.key),
            exchange.dueMs,
            costHintUs / 1000,
            (float) numericExtra(command, "size", 0),
            command.write,
            "1".equals(MetaCodec.parameter(command.extras, "r")),
            waitedMs);
    // This timer is set before the policy's own timer for the same time, so that an attempt at a
    // silent server ends as a timeout first.
    exchange.deadlineTimer = after(timeBudgetMs, () -> onDeadline(exchange));
    callPolicy(() -> failOnThrow(exchange, () -> policy.onRequest(now, request, this)));
  }

  private static double numericExtra(Command command, String name, double defaultValue) {
    String text = MetaCodec.parameter(command.extras, name);
    return text == null ? defaultValue : MetaCodec.parseDecimal(text);
  }

  /**
   * The policy's numeric form of a key: its value if it consists of up to 16 hexadecimal digits,
   * otherwise its 64-bit FNV-1a hash. All proxies compute the same.
   */
  private static long routingKey(String text) {
    long hash = 0xcbf29ce484222325L;
    long value = 0;
    boolean hex = text.length() <= 16;
    for (int i = 0; i < text.length(); i++) {
      int digit = Character.digit(text.charAt(i), 16);
      hex &= digit >= 0;
      value = value << 4 | digit & 15;
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return hex && value != 0 ? value : hash;
  }

  private void onDeadline(Exchange exchange) {
    for (int i = 0; i < exchange.attempts.size(); i++) {
      if (exchange.streamedResponse == null
          || exchange.streamedResponse.attempt != exchange.attempts.get(i)) {
        onAttemptTimeout(exchange.attempts.get(i));
      }
    }
    if (exchange.finished || exchange.streamedResponse != null) {
      return;
    }
    exchange.deadlineTimer =
        after(
            UNANSWERED_GRACE_MS,
            () -> {
              if (!exchange.finished) {
                log("request not answered by the routing policy");
                finish(exchange, MetaCodec.FAILED);
              }
            });
  }

  private void onAttemptTimeout(Attempt attempt) {
    if (!attempt.ended) {
      if (attempt.connection != null) {
        // While the connection is not established nothing of the request is sent, so it cannot
        // have run.
        boolean unsent = attempt.connection.abandon(attempt);
        end(attempt, unsent ? Outcome.CONNECT_FAILED : Outcome.TIMEOUT, 0, null, null);
      } else {
        end(attempt, Outcome.NOT_SENT, 0, null, null);
      }
    }
  }

  /** Ends a request whose client has closed its connection. */
  void cancelForClosedClient(Exchange exchange) {
    if (!exchange.finished) {
      markFinished(exchange);
      if (exchange.streamedResponse != null) { // the rest of the response has no recipient
        Attempt attempt = exchange.streamedResponse.attempt;
        attempt.connection.abandon(attempt);
        callPolicy(() -> end(attempt, Outcome.CANCELLED, 0, null, null));
      }
      callPolicy(() -> policy.onClientGone(now(), exchange.id, this));
      releaseIfFinished(exchange);
    }
  }

  /**
   * Starts to forward a value that is too long to be buffered. {@code head} is the line that
   * precedes it. The value becomes the request's only answer, and its deadline no longer applies.
   * Returns null if the request no longer needs an answer.
   */
  StreamedResponse beginStreaming(Attempt attempt, UpstreamConnection connection, ByteBuf head) {
    Exchange exchange = attempt.exchange;
    if (attempt.ended || exchange.finished || exchange.streamedResponse != null) {
      head.release();
      return null;
    }
    exchange.streamedResponse = new StreamedResponse(attempt, connection, accounts, now());
    stop(attempt.timeoutTimer);
    stop(exchange.deadlineTimer);
    exchange.client.addResponsePart(exchange, head);
    if (!exchange.finished) { // the client may have been disconnected for lack of memory
      callPolicy(
          () ->
              failOnThrow(
                  exchange,
                  () ->
                      policy.onFirstByte(now(), exchange.id, attempt.index, attempt.server, this)));
    }
    return exchange.finished ? null : exchange.streamedResponse;
  }

  // ---- completion of attempts and requests

  /**
   * Ends an attempt; later calls for the same attempt have no effect. The answer, if there is one,
   * goes to the client unless the request already has an answer.
   */
  void end(Attempt attempt, Outcome outcome, int note, float[] report, ByteBuf answer) {
    if (attempt.ended) {
      if (answer != null) {
        answer.release();
      }
      return;
    }
    attempt.ended = true;
    stop(attempt.timeoutTimer);
    Exchange exchange = attempt.exchange;
    boolean streamed =
        exchange != null
            && exchange.streamedResponse != null
            && exchange.streamedResponse.attempt == attempt;
    double elapsedMs =
        Math.max(
            0,
            (streamed ? exchange.streamedResponse.beganMs : now() - responseQueueDelayMs(outcome))
                - attempt.sentMs);
    if (exchange == null) {
      callPolicy(
          () -> policy.onHealthCheck(now(), attempt.server, outcome, elapsedMs, report, this));
      return;
    }
    exchange.attemptsInFlight--;
    if (streamed && !exchange.finished) {
      markFinished(exchange);
      exchange.client.streamingEnded(exchange, outcome == Outcome.OK);
    } else if (answer != null && (exchange.finished || exchange.streamedResponse != null)) {
      answer.release();
    } else if (answer != null) {
      markFinished(exchange);
      exchange.client.answer(exchange, answer, Metrics.Result.SERVED);
    }
    boolean finalAnswer = exchange.finished;
    callPolicy(
        () ->
            failOnThrow(
                exchange,
                () ->
                    policy.onAttemptEnd(
                        now(),
                        new AttemptEnd(
                            exchange.id,
                            attempt.index,
                            attempt.server,
                            outcome,
                            elapsedMs,
                            finalAnswer,
                            note,
                            report),
                        this)));
    releaseIfFinished(exchange);
  }

  /**
   * How long a response has waited for the event loop, in milliseconds. It is not counted in the
   * server's response time.
   */
  private double responseQueueDelayMs(Outcome outcome) {
    return outcome == Outcome.OK || outcome == Outcome.MISS || outcome == Outcome.FULL
        ? queueDelayMs()
        : 0;
  }

  /**
   * How long data read now has waited for the event loop, in milliseconds; 0 if load shedding is
   * off, as it is not measured then.
   */
  double queueDelayMs() {
    return loadShedder == null ? 0 : loadShedder.queueDelayMs(now());
  }

  private void markFinished(Exchange exchange) {
    markFinished(exchange, !exchange.attempts.isEmpty());
  }

  private void markFinished(Exchange exchange, boolean mayHaveRun) {
    exchange.finished = true;
    requestIds.finished(now(), exchange.command.id, exchange.idempotent, mayHaveRun);
    stop(exchange.deadlineTimer);
  }

  private void finish(Exchange exchange, String text) {
    finish(
        exchange,
        MetaCodec.asciiBuffer(UnpooledByteBufAllocator.DEFAULT, text),
        Metrics.Result.FAILED);
  }

  /** Gives a final answer that does not come from a server. */
  private void finish(Exchange exchange, ByteBuf answer, Metrics.Result result) {
    if (exchange.finished || exchange.streamedResponse != null) {
      answer.release();
      return;
    }
    markFinished(exchange, result != Metrics.Result.REJECTED && !exchange.attempts.isEmpty());
    exchange.client.answer(exchange, answer, result);
    releaseIfFinished(exchange);
  }

  /**
   * If the request has its final answer, releases its line and value and, once no attempt is in
   * flight, the request itself.
   */
  private void releaseIfFinished(Exchange exchange) {
    if (!exchange.finished) {
      return;
    }
    exchange.client.releaseCommand(exchange.command);
    if (exchange.attemptsInFlight == 0) {
      exchanges.remove(exchange.id);
    }
  }

  // ---- actions ordered by the policy

  @Override
  public void sendAttempt(int request, int server, double timeoutMs) {
    Exchange exchange = exchanges.get(request);
    if (exchange == null || exchange.finished || exchange.streamedResponse != null) {
      log("attempt ordered for a finished request");
      return;
    }
    double now = now();
    double leftMs = exchange.dueMs - now;
    double waitMs = timeoutMs == 0 ? leftMs : Math.min(timeoutMs, leftMs);
    Attempt attempt = new Attempt(exchange, exchange.attempts.size(), server, now, now + waitMs);
    exchange.attempts.add(attempt);
    exchange.attemptsInFlight++;
    Upstream upstream = upstreams.get(server);
    if (upstream == null || waitMs <= 0 || attempt.index >= settings.maxAttempts()) {
      callPolicy(() -> end(attempt, Outcome.NOT_SENT, 0, null, null));
      return;
    }
    // Each attempt has its own timer, even when it ends at the request's deadline: the attempt
    // may continue after the request has been answered, and must not do so for ever.
    attempt.timeoutTimer = after(waitMs, () -> onAttemptTimeout(attempt));
    if (!upstream.send(attempt)) {
      callPolicy(() -> end(attempt, Outcome.CONNECT_FAILED, 0, null, null));
    }
  }

  @Override
  public void reject(int request, double retryAfterMs) {
    Exchange exchange = exchanges.get(request);
    if (exchange != null) {
      finish(
          exchange,
          MetaCodec.asciiBuffer(UnpooledByteBufAllocator.DEFAULT, busyLine(retryAfterMs) + "\r\n"),
          Metrics.Result.REJECTED);
    }
  }

  @Override
  public void fail(int request) {
    Exchange exchange = exchanges.get(request);
    if (exchange != null) {
      finish(exchange, MetaCodec.FAILED);
    }
  }

  @Override
  public void cancelAttempt(int request, int attemptIndex) {
    Exchange exchange = exchanges.get(request);
    Attempt attempt =
        exchange == null || attemptIndex >= exchange.attempts.size()
            ? null
            : exchange.attempts.get(attemptIndex);
    if (attempt == null
        || attempt.ended
        || exchange.streamedResponse != null && exchange.streamedResponse.attempt == attempt) {
      return;
    }
    if (attempt.connection != null) {
      attempt.connection.abandon(attempt);
      if (!settings.mayHedge() && !exchange.finished && attempt.connection.isInFlight(attempt)) {
        // Other attempts keep its connection open. The attempt stays in flight until the connection
        // ends or a response arrives; a further one before that would be a hedged request.
        return;
      }
    }
    callPolicy(() -> end(attempt, Outcome.CANCELLED, 0, null, null));
  }

  @Override
  public void setTimer(double afterMs, int token) {
    policyTimers.put(
        token,
        after(
            afterMs,
            () -> {
              policyTimers.remove(token);
              if (!stopped) {
                callPolicy(() -> policy.onTimer(now(), token, this));
              }
            }));
  }

  @Override
  public void cancelTimer(int token) {
    stop(policyTimers.remove(token));
  }

  @Override
  public void startHealthCheck(int server) {
    Upstream upstream = upstreams.get(server);
    double now = now();
    Attempt attempt = new Attempt(null, 0, server, now, now + PROBE_TIMEOUT_MS);
    if (upstream == null || !upstream.send(attempt)) {
      callPolicy(() -> end(attempt, Outcome.CONNECT_FAILED, 0, null, null));
    } else {
      attempt.timeoutTimer = after(PROBE_TIMEOUT_MS, () -> onAttemptTimeout(attempt));
    }
  }

  @Override
  public void closeIdleConnections(int server) {
    Upstream upstream = upstreams.get(server);
    if (upstream != null) {
      upstream.closeIdle(Double.MAX_VALUE);
    }
  }

  @Override
  public void sendToPeer(int peer, byte[] message) {
    peers.send(peer, message);
  }

  @Override
  public void watchEndpointList(boolean on) {
    discovery.watch(on);
  }

  @Override
  public void fetchEndpointList() {
    discovery.poll();
  }

  @Override
  public void log(String line) {
    log.writeLine(line, null);
  }

  // ---- timers

  /**
   * Runs a task after a delay. Exceptions of the task are logged, so that the other timers of its
   * tick still run.
   */
  Timers.Timer after(double ms, Runnable task) {
    return timers.after(
        ms,
        () -> {
          try {
            task.run();
          } catch (Throwable e) {
            logFault(e);
          }
        });
  }

  private static void stop(Timers.Timer timer) {
    if (timer != null) {
      timer.stop();
    }
  }
}
