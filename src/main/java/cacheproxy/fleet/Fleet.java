package cacheproxy.fleet;

import cacheproxy.load.ArrivalProcess;
import cacheproxy.load.AttemptListener;
import cacheproxy.load.ClientRetryPolicy;
import cacheproxy.load.KeyDistribution;
import cacheproxy.load.LoadGenerator;
import cacheproxy.load.LoadProfile;
import cacheproxy.load.RequestClass;
import cacheproxy.load.ResultRecorder;
import cacheproxy.site.Breach;
import cacheproxy.site.Ledger;
import cacheproxy.site.Loopback;
import cacheproxy.site.Scenario;
import cacheproxy.site.Site;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Test rig: a simulated site (cache nodes, origin and discovery), real proxy processes in front of
 * it, a relay for the datagrams between the proxies, and an open-loop load generator. Tests and
 * commands inject faults through it. It records the actual state of each proxy process, polls each
 * proxy for its membership view, and lets the ledger check the outcome of every attempt. Only one
 * thread at a time may inject faults. {@link #close} ends every process and socket that the rig
 * started.
 */
public final class Fleet implements AutoCloseable {
  /**
   * Size and behaviour of a fleet.
   *
   * @param proxies number of proxies, 1 to 32
   * @param nodes number of cache nodes
   * @param requestsPerSecond rate of the complete load, over all proxies
   * @param seed seed of the site, the load and the link faults
   * @param settings contents of the operator's settings file of every proxy, or null to run without
   *     one
   * @param peerTrafficEnabled whether the proxies may send datagrams to each other
   * @param meanReadMs mean duration of a read at a cache node of speed 1, in milliseconds
   * @param collapseFactor a cold cache node fails when its load reaches this multiple of its
   *     capacity
   * @param mainClass main class of the proxy processes
   */
  public record Configuration(
      int proxies,
      int nodes,
      double requestsPerSecond,
      long seed,
      String settings,
      boolean peerTrafficEnabled,
      double meanReadMs,
      double collapseFactor,
      String mainClass) {
    public static final int MAX_PROXIES = 32;
    static final String DEFAULT_MAIN_CLASS = "cacheproxy.Main";
    static final String MEMBERSHIP_SETTINGS = "[membership]\non = true\n";
    static final String SHARED_SETTINGS = MEMBERSHIP_SETTINGS + "[shared]\non = true\n";

    public Configuration(
        int proxies,
        int nodes,
        double requestsPerSecond,
        long seed,
        String settings,
        boolean peerTrafficEnabled) {
      this(
          proxies,
          nodes,
          requestsPerSecond,
          seed,
          settings,
          peerTrafficEnabled,
          20,
          3,
          DEFAULT_MAIN_CLASS);
    }

    /** Proxies of one tier with membership and shared observations enabled. */
    public static Configuration withSharing(int proxies, int nodes, double rate, long seed) {
      return new Configuration(proxies, nodes, rate, seed, SHARED_SETTINGS, true);
    }

    /** Proxies of one tier with membership enabled. */
    public static Configuration withMembership(int proxies, int nodes, double rate, long seed) {
      return new Configuration(proxies, nodes, rate, seed, MEMBERSHIP_SETTINGS, true);
    }
  }

  /**
   * A proxy did not start or end in time, or a fault could not be applied. The message is one line.
   */
  public static final class FleetException extends Exception {
    private static final long serialVersionUID = 1L;

    FleetException(String message) {
      super(message, null, false, false);
    }
  }

  private static final double PROCESS_TIMEOUT_MS = 60_000;
  private static final int KEY_COUNT = 5000;

  /** The most popular keys, which every cache node holds at the start. */
  private static final int PRELOADED_KEYS = 3000;

  private static final long VIEW_POLL_INTERVAL_MS = 200;
  private static final int CALL_TIMEOUT_MS = 2000;
  private static final int MAX_REPORTED_UNANSWERED = 100;

  private final Configuration configuration;
  private final Path directory = Files.createTempDirectory("fleet");
  private final ParentWatchdog watchdog = new ParentWatchdog(directory);
  private final Site site;
  private final DatagramRelay relay;
  private final List<ProxyProcess> proxies = new ArrayList<>();
  private final List<InetSocketAddress> controlAddresses = new CopyOnWriteArrayList<>();
  private final Loopback loopback;
  private final ObservedViews observedViews;
  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "fleet-worker");
            t.setDaemon(true);
            return t;
          });
  private final CountDownLatch closed = new CountDownLatch(1);

  /** An attempt that a proxy has not answered yet: the number of the proxy and the send time. */
  private record OpenAttempt(int target, double sentAtMs) {}

  /**
   * Descriptions of attempts that ended without an answer at a proxy that was not impaired by a
   * fault. They help to find the cause.
   */
  private final List<String> unansweredAttempts = Collections.synchronizedList(new ArrayList<>());

  private final Map<String, OpenAttempt> openAttempts = new ConcurrentHashMap<>();

  /** Set when the rig stops the load early. No client waits for the attempts that are open then. */
  private volatile boolean loadStopping;

  /** Number of attempts that each proxy served, by proxy number. */
  private final AtomicLongArray servedAttempts;

  /** Number of attempts that ended at each proxy, with or without an answer, by proxy number. */
  private final AtomicLongArray endedAttempts;

  private boolean viewPollingEnabled = true;
  private LoadGenerator generator;
  private Future<ResultRecorder> load;

  public Fleet(Configuration plan) throws Exception {
    this.configuration = plan;
    loopback = new Loopback();
    site =
        new Site(
            Site.Plan.of(plan.nodes(), plan.seed())
                .withReadWork(plan.meanReadMs(), plan.collapseFactor()),
            loopback,
            plan.proxies());
    servedAttempts = new AtomicLongArray(plan.proxies());
    endedAttempts = new AtomicLongArray(plan.proxies());
    observedViews = new ObservedViews(plan.proxies());
    List<InetSocketAddress> relayAddresses = new ArrayList<>();
    List<InetSocketAddress> proxyAddresses = new ArrayList<>();
    for (int p = 0; p <= plan.proxies(); p++) {
      relayAddresses.add(new InetSocketAddress(loopback.host(), loopback.port()));
    }
    for (int p = 0; p < plan.proxies(); p++) {
      proxyAddresses.add(new InetSocketAddress(loopback.host(), loopback.port()));
    }
    relay =
        new DatagramRelay(
            new LinkFaults(plan.proxies(), plan.seed()), relayAddresses, proxyAddresses);
    for (int p = 0; p < plan.proxies(); p++) {
      InetSocketAddress listen = new InetSocketAddress(loopback.host(), loopback.port());
      controlAddresses.add(new InetSocketAddress(loopback.host(), loopback.port()));
      proxies.add(
          new ProxyProcess(
              p,
              directory,
              listen,
              proxyConfig(p, listen, proxyAddresses.get(p), relayAddresses),
              plan.settings(),
              plan.mainClass()));
      observedViews.recordTruth(0, p, "down");
    }
  }

  static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private String proxyConfig(
      int p,
      InetSocketAddress listen,
      InetSocketAddress ownAddress,
      List<InetSocketAddress> relayAddresses)
      throws Exception {
    JsonObject json =
        JsonParser.parseString(
                site.proxyConfig(
                    p, configuration.proxies(), listen.getPort(), RequestClass.DEFAULTS))
            .getAsJsonObject();
    json.addProperty("listen", hostAndPort(listen));
    json.addProperty("control", hostAndPort(controlAddresses.get(p)));
    if (configuration.peerTrafficEnabled()) {
      json.getAsJsonObject("settings").getAsJsonObject("caps").addProperty("peers", true);
      json.addProperty("peer_listen", hostAndPort(ownAddress));
      JsonArray peers = new JsonArray();
      relayAddresses.subList(0, configuration.proxies()).forEach(s -> peers.add(hostAndPort(s)));
      json.add("peers", peers);
      json.addProperty("peers_all", hostAndPort(relayAddresses.get(configuration.proxies())));
    }
    return json.toString();
  }

  // ---- start, load and end

  /**
   * Disables the polling of the proxies' views; call it before {@link #start()}. Answering the
   * polls costs a proxy more CPU time than maintaining its view.
   */
  public void disableViewPolling() {
    viewPollingEnabled = false;
  }

  /** Starts all proxies and waits until they serve requests. */
  public void start() throws Exception {
    site.preloadKeys(
        IntStream.range(0, PRELOADED_KEYS).mapToObj(KeyDistribution::keyOfRank).toList());
    start(true, IntStream.range(0, configuration.proxies()).toArray());
    for (int p = 0;
        p < configuration.proxies() && configuration.settings() != null && viewPollingEnabled;
        p++) {
      int proxy = p;
      executor.submit(() -> pollViews(proxy));
    }
  }

  /**
   * Starts a load of the given duration against all proxies; {@link #endLoad} can stop it early.
   */
  public void load(double seconds) throws InterruptedException {
    LoadGenerator.warmUp(configuration.requestsPerSecond(), 1);
    List<InetSocketAddress> targets = targets();
    generator =
        new LoadGenerator(
            new LoadGenerator.Settings(
                targets,
                RequestClass.DEFAULTS,
                () ->
                    new cacheproxy.load.RequestPlan(
                        RequestClass.DEFAULTS,
                        new ArrivalProcess(
                            configuration.requestsPerSecond(),
                            new LoadProfile.Steady(),
                            true,
                            configuration.seed()),
                        new KeyDistribution(
                            KEY_COUNT,
                            0.95,
                            0,
                            KeyDistribution.HotKey.NONE,
                            configuration.seed() + 1),
                        targets.size(),
                        cacheproxy.load.RequestPlan.HotTarget.NONE,
                        64,
                        seconds * 1000,
                        configuration.seed() + 2),
                ClientRetryPolicy.DEFAULT,
                1,
                512,
                "t",
                configuration.seed() + 3,
                ledgerWitness(),
                Site.LOST_MS));
    load = executor.submit(() -> generator.run());
  }

  private AttemptListener ledgerWitness() {
    Ledger ledger = site.ledger();
    return new AttemptListener() {
      @Override
      public void attemptSent(
          String id, int target, RequestClass kind, String idempotency, double timeoutMs) {
        openAttempts.put(id, new OpenAttempt(target, site.nowMs()));
        Ledger.Effect effect =
            kind.idempotent()
                ? Ledger.Effect.IDEMPOTENT
                : kind.hasIdempotencyKey()
                    ? Ledger.Effect.IDEMPOTENCY_KEY
                    : Ledger.Effect.NOT_IDEMPOTENT;
        synchronized (ledger) {
          ledger.requestAccepted(id, effect, idempotency, site.nowMs(), site.nowMs() + timeoutMs);
        }
      }

      @Override
      public void attemptEnded(String id, ClientRetryPolicy.AttemptOutcome end, boolean gaveUp) {
        OpenAttempt attempt = openAttempts.remove(id);
        if (attempt != null) {
          Fleet.this.endedAttempts.incrementAndGet(attempt.target());
          servedAttempts.addAndGet(
              attempt.target(), end == ClientRetryPolicy.AttemptOutcome.SERVED ? 1 : 0);
        }
        boolean impairedByRig =
            loadStopping
                || attempt != null
                    && proxies.get(attempt.target()).impairedSince(attempt.sentAtMs());
        if (end == ClientRetryPolicy.AttemptOutcome.LOST
            && !impairedByRig
            && unansweredAttempts.size() < MAX_REPORTED_UNANSWERED) {
          unansweredAttempts.add(
              "try "
                  + id
                  + (attempt == null
                      ? ""
                      : ", in hand at n"
                          + attempt.target()
                          + " since "
                          + Math.round(attempt.sentAtMs())
                          + " ms,")
                  + (gaveUp ? " had no answer" : " lost its connection")
                  + " by "
                  + Math.round(site.nowMs())
                  + " ms");
        }
        synchronized (ledger) {
          if (impairedByRig) {
            // The proxy's process was stopped, slowed or killed by the rig, or the load was
            // stopped, so a late or missing answer is not a fault of the proxy program.
            ledger.noAnswerOwed(id);
          }
          switch (end) {
            case SERVED -> ledger.answered(id, Ledger.FinalAnswer.SERVED, site.nowMs());
            case REFUSED -> ledger.answered(id, Ledger.FinalAnswer.REFUSED, site.nowMs());
            case FAILED -> ledger.answered(id, Ledger.FinalAnswer.FAILED, site.nowMs());
            case LOST, UNCONNECTED -> {
              // If the client gave up, the deadline and the slack for sockets passed without an
              // answer, and the ledger settles the attempt as unanswered.
              if (!gaveUp) {
                ledger.connectionClosedByProxy(id, site.nowMs());
              }
            }
          }
        }
      }

      @Override
      public void connectionClosedWhileIdle(String id) {
        openAttempts.remove(id);
        synchronized (ledger) {
          ledger.noAnswerOwed(id);
        }
      }
    };
  }

  /**
   * Waits for the load to finish, or stops it immediately and excludes the attempts that are open
   * then from the ledger's checks. Returns the results of the load.
   */
  public ResultRecorder endLoad(boolean immediately) throws Exception {
    if (immediately) {
      loadStopping = true;
      generator.stop();
    }
    ResultRecorder results = load.get();
    synchronized (site.ledger()) {
      openAttempts.keySet().forEach(site.ledger()::noAnswerOwed);
    }
    // 1.5 s let the cache nodes finish the reads in flight and the last deadlines pass.
    Thread.sleep(1500);
    return results;
  }

  /**
   * Violations that the ledger found in the ended attempts, unanswered attempts at unimpaired
   * proxies, and proxies that ended unexpectedly.
   */
  public List<String> violations() {
    List<String> all = new ArrayList<>();
    for (Breach b : site.judgeRequests()) {
      all.add(b.toString());
    }
    all.addAll(unansweredAttempts);
    for (ProxyProcess p : proxies) {
      if (p.diedUnexpectedly()) {
        all.add("proxy n" + p.number() + " died by itself");
      }
    }
    return all;
  }

  /**
   * Number of answers that arrived after their deadline plus the allowed slack and were still
   * recorded as answers.
   */
  public long lateAnswers() {
    synchronized (site.ledger()) {
      return site.ledger().late();
    }
  }

  /** Number of sends that the site read too late to decide whether the proxy sent them in time. */
  public long unjudgedSends() {
    synchronized (site.ledger()) {
      return site.ledger().undecidedArrivals();
    }
  }

  /** Number of attempts that the ledger has checked. */
  public long judgedAttempts() {
    synchronized (site.ledger()) {
      return site.ledger().judgedRequests();
    }
  }

  @Override
  public void close() throws IOException {
    closed.countDown();
    if (generator != null) {
      generator.stop();
    }
    executor.shutdownNow();
    try {
      for (ProxyProcess p : proxies) {
        p.kill();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    relay.close();
    site.close();
    watchdog.close();
    deleteRecursively(directory);
  }

  static void deleteRecursively(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }

  // ---- faults of proxy processes

  private void recordState(int p) {
    observedViews.recordTruth(
        site.nowMs(), p, proxies.get(p).state().name().toLowerCase(Locale.ROOT));
  }

  /**
   * Starts the given proxies concurrently and waits until they serve requests. Their directories
   * are emptied first unless {@code keep} is true.
   */
  public void start(boolean keep, int... numbers) throws Exception {
    for (int p : numbers) {
      proxies.get(p).start(keep);
      proxies.get(p).clearImpaired(site.nowMs());
      recordState(p);
    }
    for (int p : numbers) {
      if (!proxies.get(p).awaitReady(PROCESS_TIMEOUT_MS)) {
        throw new FleetException(
            "proxy n"
                + p
                + " did not start serving in time: "
                + proxies.get(p).log().lines().reduce((a, b) -> b).orElse(""));
      }
      recordState(p);
    }
  }

  /** Sends SIGKILL to the given proxies. */
  public void kill(int... numbers) throws InterruptedException {
    for (int p : numbers) {
      proxies.get(p).markImpaired(site.nowMs());
      proxies.get(p).kill();
      recordState(p);
    }
  }

  /** Sends SIGTERM to the given proxies and waits until their processes have ended. */
  public void stopGracefully(int... numbers) throws Exception {
    for (int p : numbers) {
      proxies.get(p).terminate();
      recordState(p);
    }
    for (int p : numbers) {
      if (!proxies.get(p).awaitExit(PROCESS_TIMEOUT_MS)) {
        throw new FleetException("proxy n" + p + " did not end in time after SIGTERM");
      }
      proxies.get(p).kill();
      recordState(p);
    }
  }

  /**
   * Starts a second process of the proxy, waits until it is ready, and sends SIGTERM to the first
   * one so that the second takes over.
   */
  public void takeOver(int p) throws Exception {
    InetSocketAddress successorControl = new InetSocketAddress(loopback.host(), loopback.port());
    JsonObject config =
        JsonParser.parseString(Files.readString(directory.resolve("n" + p + ".json")))
            .getAsJsonObject();
    config.addProperty("control", hostAndPort(successorControl));
    Path file = directory.resolve("n" + p + "." + successorControl.getPort() + ".json");
    Files.writeString(file, config.toString());
    proxies.get(p).startSuccessor(file);
    if (!await(PROCESS_TIMEOUT_MS, () -> isReady(successorControl))) {
      throw new FleetException("proxy n" + p + ": the new process was not ready in time");
    }
    if (!proxies.get(p).completeTakeover(PROCESS_TIMEOUT_MS)) {
      throw new FleetException(
          "proxy n" + p + ": the old process did not end in time after SIGTERM");
    }
    controlAddresses.set(p, successorControl);
  }

  private static boolean isReady(InetSocketAddress control) {
    try {
      return httpGet(control, "/ops/readiness").startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  /** Stops the proxy's process with SIGSTOP and waits until it is stopped. */
  public void pause(int p) throws Exception {
    proxies.get(p).markImpaired(site.nowMs());
    proxies.get(p).pause();
    recordState(p);
    if (!await(
        5000,
        () -> {
          try {
            return proxies.get(p).isStopped();
          } catch (IOException e) {
            return false;
          }
        })) {
      throw new FleetException("proxy n" + p + " is not in the stopped state after SIGSTOP");
    }
  }

  /** Lets a paused or slowed proxy run normally again. */
  public void resume(int p) throws Exception {
    proxies.get(p).resume();
    proxies.get(p).clearImpaired(site.nowMs());
    recordState(p);
  }

  /** Lets the proxy run only for the given share of each second, until {@link #resume}. */
  public void slow(int p, double share) {
    proxies.get(p).markImpaired(site.nowMs());
    proxies.get(p).throttle(share);
    recordState(p);
  }

  // ---- faults of the network between the proxies

  /**
   * Blocks or unblocks all datagrams from the proxies in {@code from} to those in {@code to}, and
   * also in the opposite direction if {@code both} is true.
   */
  public void setBlocked(List<Integer> from, List<Integer> to, boolean both, boolean blocked)
      throws Exception {
    relay.runOnLoop(
        () -> {
          for (int f : from) {
            for (int t : to) {
              if (f != t) {
                relay.linkFaults().setBlocked(f, t, blocked);
                if (both) {
                  relay.linkFaults().setBlocked(t, f, blocked);
                }
              }
            }
          }
          return null;
        });
  }

  /**
   * Unblocks all links between the proxies, and from them to the cache nodes, the origin and
   * discovery.
   */
  public void heal() throws Exception {
    relay.runOnLoop(
        () -> {
          relay.linkFaults().unblockAll();
          return null;
        });
    for (int p = 0; p < configuration.proxies(); p++) {
      site.setPathsCut(p, true, true, false);
    }
  }

  /**
   * Sets loss rate, mean delay and duplicate rate of the datagrams on all links between proxies.
   */
  public void setLinkQuality(double loss, double delayMs, double twice) throws Exception {
    relay.runOnLoop(
        () -> {
          relay.linkFaults().setQuality(new LinkFaults.Quality(loss, 0, delayMs, twice));
          return null;
        });
  }

  /**
   * Replaces each datagram that the proxy sends by the rewriter's result; null ends the rewriting.
   */
  public void setDatagramRewriter(int proxy, UnaryOperator<byte[]> rewriter) throws Exception {
    relay.runOnLoop(
        () -> {
          relay.setRewriter(proxy, rewriter);
          return null;
        });
  }

  /**
   * The simulated site, for faults of its own and for the requests that its cache nodes received.
   */
  public Site site() {
    return site;
  }

  /**
   * The numbers of attempts that this proxy has served so far and that have ended at it, in this
   * order.
   */
  public long[] attempts(int proxy) {
    return new long[] {servedAttempts.get(proxy), endedAttempts.get(proxy)};
  }

  /**
   * Blocks or unblocks a proxy's connections to the cache nodes and the origin, to discovery, or
   * both.
   */
  public void setSiteBlocked(int p, boolean nodes, boolean lists, boolean blocked)
      throws Exception {
    site.setPathsCut(p, nodes, lists, blocked);
  }

  /** The numbers of lost and of sent datagrams on the link between two proxies, in this order. */
  public long[] lostAndSent(int from, int to) throws Exception {
    return relay.runOnLoop(
        () -> new long[] {relay.linkFaults().lost(from, to), relay.linkFaults().sent(from, to)});
  }

  /** The numbers of datagrams and bytes that a proxy has sent to others, in this order. */
  public long[] traffic(int from) throws Exception {
    return relay.runOnLoop(
        () ->
            new long[] {
              relay.linkFaults().datagramsSent(from), relay.linkFaults().bytesSent(from)
            });
  }

  /**
   * Applies a fault of a scenario and returns once it is in effect. {@link #revertFault} ends a
   * proxy fault that has a duration.
   */
  public void applyFault(Scenario.Event e) throws Exception {
    Scenario.ProxyFault b = e.proxyFault();
    int[] numbers = b.proxies().stream().mapToInt(Integer::intValue).toArray();
    switch (e.type()) {
      case PAUSE -> {
        for (int p : numbers) {
          pause(p);
        }
      }
      case SLOW -> b.proxies().forEach(p -> slow(p, b.runShare()));
      case KILL -> kill(numbers);
      case STOP -> stopGracefully(numbers);
      case START ->
          start(
              b.keepsFolder(),
              IntStream.of(numbers).filter(p -> !proxies.get(p).isRunning()).toArray());
      case CUT -> setBlocked(e, true);
      case HEAL -> heal();
      case WIRE -> setLinkQuality(b.loss(), b.delayMs(), b.duplicateShare());
      default -> site.injectFault(e);
    }
  }

  private void setBlocked(Scenario.Event e, boolean blocked) throws Exception {
    Scenario.ProxyFault b = e.proxyFault();
    if (b.paths().contains("peers")) {
      setBlocked(b.proxies(), b.receivers(), b.bothDirections(), blocked);
    }
    for (int p : b.proxies()) {
      site.setPathsCut(p, b.paths().contains("nodes"), b.paths().contains("lists"), blocked);
    }
  }

  /** Ends a proxy fault that has a duration. */
  public void revertFault(Scenario.Event e) throws Exception {
    switch (e.type()) {
      case PAUSE, SLOW -> {
        for (int p : e.proxyFault().proxies()) {
          if (proxies.get(p).isRunning()) {
            resume(p);
          }
        }
      }
      case CUT -> setBlocked(e, false);
      case WIRE -> setLinkQuality(0, 0, 0);
      default -> {}
    }
  }

  // ---- views of the proxies

  private void pollViews(int p) {
    try {
      while (!closed.await(VIEW_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
        if (proxies.get(p).isRunning()) {
          pollView(p);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pollView(int p) {
    try {
      JsonObject view = fetchView(controlAddresses.get(p));
      List<String> states = new ArrayList<>();
      List<Boolean> direct = new ArrayList<>();
      for (JsonElement m : view.getAsJsonArray("members")) {
        states.add(m.getAsJsonObject().get("state").getAsString());
        direct.add(m.getAsJsonObject().get("direct").getAsBoolean());
      }
      observedViews.recordView(site.nowMs(), p, states, direct);
    } catch (IOException | RuntimeException e) {
      // The proxy is paused, starting or has ended: its previous view stays recorded.
    }
  }

  /** Fetches a proxy's membership view from its control address. */
  static JsonObject fetchView(InetSocketAddress control) throws IOException {
    return fetchJson(control, "/ops/members");
  }

  /** Fetches the observations that a proxy holds from its tier. */
  public JsonObject fetchShared(int p) throws IOException {
    return fetchJson(controlAddresses.get(p), "/ops/shared");
  }

  static JsonObject fetchJson(InetSocketAddress control, String path) throws IOException {
    String answer = httpGet(control, path);
    int body = answer.indexOf("\r\n\r\n");
    if (!answer.startsWith("HTTP/1.1 200") || body < 0) {
      throw new IOException(answer.lines().findFirst().orElse("no HTTP answer"));
    }
    return JsonParser.parseString(answer.substring(body)).getAsJsonObject();
  }

  private static String httpGet(InetSocketAddress control, String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(control, CALL_TIMEOUT_MS);
      socket.setSoTimeout(CALL_TIMEOUT_MS);
      socket
          .getOutputStream()
          .write(
              ("GET " + path + " HTTP/1.1\r\nHost: " + hostAndPort(control) + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readNBytes(1 << 20), StandardCharsets.UTF_8);
    }
  }

  /** Waits until the condition holds, at most for the given time. Returns false on time-out. */
  public boolean await(double timeoutMs, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + (long) (timeoutMs * 1e6);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      Thread.sleep(50);
    }
    return true;
  }

  public ObservedViews observedViews() {
    return observedViews;
  }

  public List<InetSocketAddress> targets() {
    return proxies.stream().map(ProxyProcess::listen).toList();
  }

  List<InetSocketAddress> controlAddresses() {
    return controlAddresses;
  }

  public double nowMs() {
    return site.nowMs();
  }

  /** CPU time that this proxy's process has used since its start, in milliseconds. */
  public double cpuMs(int p) {
    return proxies.get(p).cpuMs();
  }

  public String log(int p) throws IOException {
    return proxies.get(p).log();
  }
}
