package cacheproxy.shared;

import cacheproxy.routing.RoutingApi;
import cacheproxy.shared.SharedMessage.CounterReport;
import cacheproxy.shared.SharedMessage.PullRequest;
import cacheproxy.shared.SharedMessage.PullResponse;
import cacheproxy.shared.SharedMessage.PushNotification;
import cacheproxy.shared.SharedMessage.QuotaGrant;
import cacheproxy.shared.SharedMessage.QuotaRequest;
import cacheproxy.shared.SharedMessage.VerdictReport;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * The state that one proxy shares with its tier: health verdicts on cache nodes, counters of the
 * answers that the tier receives, and the slow-start quota of nodes that are warming up. Each proxy
 * periodically pulls from a random peer, and pulls at once from a peer that sends it a push
 * notification. It accepts only responses to its own pulls, so a datagram that is delayed,
 * duplicated or read after a pause of the process does no harm. A proxy that receives no responses
 * relies on its own observations and spends only its own part of each quota.
 *
 * <p>Passes calls of the routing module, timer ticks and received datagrams to {@link
 * HealthVerdicts}, {@link ServedCounters} and {@link SlowStartLeases}. {@link AntiEntropySchedule}
 * determines when to send, and {@link DatagramBudget} how many bytes. Memory is bounded by the
 * number of proxies and the length of the endpoint list. All times are milliseconds of one
 * monotonic clock. The same seed and calls give the same behaviour. Not thread-safe.
 */
public final class SharedState implements RoutingApi.Tier {
  /** Safety rules. All are enabled in production; a test can disable one to show its effect. */
  public enum Safeguard {
    /** Only responses to this proxy's own pulls are accepted. */
    SOLICITED_RESPONSES_ONLY,
    /** New evidence is announced to random peers at once, not only by the periodic pulls. */
    PUSH_NOTIFICATIONS,
    /** The tier's quota limits the requests to nodes that are warming up. */
    SLOW_START_QUOTA
  }

  /** The longest time between two calls of {@link #tick}. */
  private static final double MAX_TICK_INTERVAL_MS = 250;

  /**
   * Longest delay before a push notification announces a missing connection slot, which is less
   * urgent than an unreachable node.
   */
  private static final double CONNECTION_SLOT_PUSH_DELAY_MS = 250;

  /** How many random peers receive each push notification. */
  private static final int PUSH_FANOUT = 3;

  /** Share of the byte budget that responses to peers must leave for this proxy's own pulls. */
  private static final double RESERVED_PULL_SHARE = 0.2;

  /** A pull starts only if the byte budget allows at least half of the largest datagram. */
  private static final double MIN_PULL_BUDGET_BYTES = SharedMessageCodec.MAX_BYTES / 2.0;

  private static final int MAX_INCARNATION = 0xFFFF;
  private static final int SEQUENCE_MODULUS = 0x10000;
  private static final int ZONE_MASK = 0x3F;

  private final SharedStateSettings settings;
  private final SharedStateHost host;
  private final SplittableRandom random;
  private final Set<Safeguard> disabled;
  private final int incarnation;
  private final HealthVerdicts verdicts;
  private final EvidenceSelector evidenceSelector = new EvidenceSelector();
  private final ServedCounters served;
  private final SlowStartLeases slowStart;
  private final AntiEntropySchedule schedule;
  private final PendingPulls pendingPulls;
  private final DatagramBudget budget;
  private final double[] lastResponseMs;
  private double lastTickMs;
  private int periodicPulls;
  private long pulls;
  private long sentMessages;
  private long sentBytes;
  private long unsentMessages;

  /**
   * Starts with no evidence and no reports from other proxies.
   *
   * @param seed must differ at each start, as the incarnation number is drawn from it
   * @param disabled safety rules to disable, for tests
   * @param disabledVerdictRules safety rules of the health verdicts to disable, for tests
   */
  public SharedState(
      SharedStateSettings settings,
      long seed,
      double now,
      SharedStateHost host,
      Set<Safeguard> disabled,
      HealthVerdicts.Safeguard... disabledVerdictRules) {
    this.settings = settings;
    this.host = host;
    this.disabled = disabled.isEmpty() ? EnumSet.noneOf(Safeguard.class) : EnumSet.copyOf(disabled);
    random = new SplittableRandom(seed);
    incarnation = 1 + random.nextInt(MAX_INCARNATION - 1);
    pendingPulls = new PendingPulls(random.nextInt());
    schedule = new AntiEntropySchedule(now, random, host::wakeUpBy);
    budget = new DatagramBudget(settings.bytesPerSecond(), now);
    lastTickMs = now;
    lastResponseMs = new double[settings.proxies()];
    Arrays.fill(lastResponseMs, Double.NEGATIVE_INFINITY);
    verdicts =
        new HealthVerdicts(
            settings.proxies(),
            settings.me(),
            settings.zone() & ZONE_MASK,
            random.nextInt(SEQUENCE_MODULUS),
            this::verdictChanged,
            disabledVerdictRules);
    served = new ServedCounters(settings.proxies(), settings.me(), incarnation, now);
    slowStart = new SlowStartLeases(settings, random, now, isEnabled(Safeguard.SLOW_START_QUOTA));
  }

  private boolean isEnabled(Safeguard safeguard) {
    return !disabled.contains(safeguard);
  }

  private void verdictChanged(
      double now, int node, boolean excluded, boolean byOther, String cause) {
    host.verdictChanged(now, node, excluded, cause);
    if (excluded || byOther) {
      host.verdictReceived(node, excluded);
    }
  }

  @Override
  public void setEndpoints(int[] servers, int[] zones) {
    verdicts.setNodes(servers, zones);
  }

  @Override
  public void reportEjection(double now, int server, double sinceMs, double forMs) {
    if (settings.healthVerdicts() && verdicts.recordFailure(now, server, sinceMs, forMs)) {
      schedule.schedulePush(now);
    }
  }

  @Override
  public void reportNoConnectionSlot(double now, int server, double forMs) {
    if (settings.healthVerdicts() && verdicts.recordNoConnectionSlot(now, server, forMs)) {
      schedule.schedulePushBy(now + CONNECTION_SLOT_PUSH_DELAY_MS);
    }
  }

  @Override
  public void reportAnswer(double now, int server, double sinceMs, int kind) {
    if (ServedCounters.isValidKind(kind)) {
      served.increment(now, kind);
    }
    if (verdicts.recordAnswer(now, server, sinceMs)) {
      schedule.schedulePush(now);
    }
  }

  @Override
  public boolean isEjected(double now, int server, boolean mayTry) {
    return verdicts.shouldSkip(now, server, mayTry);
  }

  @Override
  public RoutingApi.QuotaResult spendSlowStartQuota(
      double now, int server, int kind, double capacity, int warm) {
    if (!slowStart.isEnabled() || !ServedCounters.isValidKind(kind) || warm == 0) {
      return RoutingApi.QuotaResult.UNKNOWN;
    }
    return slowStart.spend(now, server, served.ratePerMs(now, kind) / warm * capacity);
  }

  /** The latest time for the next call of {@link #tick}. */
  public double nextTickMs() {
    return Math.min(lastTickMs + MAX_TICK_INTERVAL_MS, schedule.nextMs());
  }

  /** Called when a second process of this proxy starts at the same address, and when it ends. */
  public void setOverlapping(double now, boolean another) {
    slowStart.setOverlapping(now, another);
  }

  /** Removes expired evidence, pulls and quotas, and sends the messages that are due. */
  public void tick(double now) {
    lastTickMs = now;
    verdicts.setLiveProxies(host.presentCount());
    verdicts.expire(now);
    pendingPulls.expire(now);
    slowStart.expire(now);
    if (schedule.consumeDuePush(now)) {
      pushToRandomPeers(now);
    }
    if (schedule.consumeDuePull(now, !slowStart.isEmpty())) {
      pullPeriodically(now);
    }
  }

  private void pushToRandomPeers(double now) {
    for (int i = 0; i < PUSH_FANOUT && isEnabled(Safeguard.PUSH_NOTIFICATIONS); i++) {
      OptionalInt peer = randomPeer(any -> true);
      if (peer.isPresent()) {
        send(now, peer.getAsInt(), new PushNotification(incarnation, verdicts.digest()), 0);
      }
    }
  }

  /**
   * Every other pull goes to a random peer even if this proxy needs quota. Otherwise lease holders
   * would pull only from each other and learn nothing from the rest of the tier.
   */
  private void pullPeriodically(double now) {
    OptionalInt responder =
        ++periodicPulls % 2 == 0
            ? slowStart.chooseLender(now, this::randomPeer)
            : OptionalInt.empty();
    if (responder.isEmpty()) {
      responder = randomPeer(any -> true);
    }
    responder.ifPresent(peer -> pull(now, peer, OptionalInt.empty()));
  }

  /** Draws uniformly one of the present peers that satisfy the condition; empty if none does. */
  private OptionalInt randomPeer(IntPredicate condition) {
    OptionalInt chosen = OptionalInt.empty();
    int candidates = 0;
    for (int proxy = 0; proxy < settings.proxies(); proxy++) {
      if (proxy != settings.me()
          && host.isPresent(proxy)
          && condition.test(proxy)
          && random.nextInt(++candidates) == 0) {
        chosen = OptionalInt.of(proxy);
      }
    }
    return chosen;
  }

  private void pull(double now, int responder, OptionalInt cursor) {
    if (pendingPulls.isFull() || !budget.allows(now, MIN_PULL_BUDGET_BYTES, 0)) {
      return;
    }
    List<QuotaRequest> quotaRequests = slowStart.requestsTo(now, responder);
    PendingPulls.Pull pull = pendingPulls.add(now, responder, cursor.isPresent());
    pulls++;
    send(
        now,
        responder,
        new PullRequest(incarnation, pull.nonce(), verdicts.digest(), cursor, quotaRequests),
        0);
  }

  /**
   * Handles a datagram received from another proxy. Ignores it if it is malformed, of another
   * protocol version, or from an unknown proxy.
   *
   * @param sender the number of the proxy that it came from, determined by its address
   */
  public void receive(double now, int sender, byte[] datagram) {
    if (sender < 0 || sender >= settings.proxies() || sender == settings.me()) {
      return;
    }
    Optional<SharedMessage> decoded = SharedMessageCodec.decode(datagram);
    if (decoded.isEmpty()) {
      return;
    }
    SharedMessage message = decoded.get();
    if (message instanceof PushNotification push) {
      receive(now, sender, push);
    } else if (message instanceof PullRequest request) {
      respond(now, sender, request);
    } else if (message instanceof PullResponse response) {
      receive(now, sender, response);
    }
  }

  private void receive(double now, int sender, PushNotification push) {
    if (push.digest() != verdicts.digest() && !pendingPulls.hasRecentPullTo(now, sender)) {
      pull(now, sender, OptionalInt.empty());
    }
  }

  private void respond(double now, int requester, PullRequest request) {
    List<QuotaGrant> grants =
        slowStart.grant(now, requester, request.quotaRequests(), verdicts::isListed);
    EvidenceSelector.Page page = EvidenceSelector.Page.EMPTY;
    if (request.digest() != verdicts.digest()) {
      int capacity = SharedMessageCodec.verdictCapacity(grants.size(), ServedCounters.KINDS);
      page = evidenceSelector.select(verdicts.evidence(now), request.cursor(), capacity);
    }
    List<VerdictReport> reports =
        page.evidence().stream().map(evidence -> VerdictReport.of(now, evidence)).toList();
    int counterCapacity = SharedMessageCodec.counterCapacity(reports.size(), grants.size());
    List<CounterReport> counters =
        slowStart.isEnabled() ? served.reports(now, requester, counterCapacity) : List.of();
    send(
        now,
        requester,
        new PullResponse(
            incarnation,
            request.nonce(),
            verdicts.digest(),
            page.nextCursor(),
            reports,
            grants,
            counters),
        RESERVED_PULL_SHARE);
  }

  private void receive(double now, int sender, PullResponse response) {
    Optional<PendingPulls.Pull> pull = pendingPulls.find(response.nonce(), sender);
    boolean accepted =
        pull.map(pending -> !pending.isExpired(now))
            .orElse(!isEnabled(Safeguard.SOLICITED_RESPONSES_ONLY));
    if (!accepted) {
      return;
    }
    pull.ifPresent(pendingPulls::remove);
    lastResponseMs[sender] = now;
    apply(now, sender, response);
    boolean hasNextPage =
        pull.isPresent() && pull.get().fullSync() && response.nextCursor().isPresent();
    if (hasNextPage && response.digest() != verdicts.digest()) {
      pendingPulls.recordFullSync(now);
      pull(now, sender, response.nextCursor());
    }
  }

  private void apply(double now, int sender, PullResponse response) {
    boolean learned = false;
    for (VerdictReport report : response.verdicts()) {
      learned |= settings.healthVerdicts() && verdicts.receive(now, report.receivedAt(now));
    }
    if (learned) {
      schedule.schedulePush(now);
    }
    response.counters().forEach(report -> served.merge(now, report));
    response.quotaGrants().forEach(granted -> slowStart.accept(now, sender, granted));
  }

  private void send(double now, int receiver, SharedMessage message, double reservedShare) {
    byte[] bytes = SharedMessageCodec.encode(message);
    if (!budget.allows(now, bytes.length, reservedShare)) {
      unsentMessages++;
      return;
    }
    budget.spend(bytes.length);
    sentMessages++;
    sentBytes += bytes.length;
    host.send(receiver, bytes);
  }

  /** A snapshot of the shared state for operators and tests. */
  public SharedStateView view(double now) {
    double[] sinceResponseMs = new double[settings.proxies()];
    List<Integer> distrusted = new ArrayList<>();
    for (int proxy = 0; proxy < sinceResponseMs.length; proxy++) {
      sinceResponseMs[proxy] = now - lastResponseMs[proxy];
      if (verdicts.isDistrusted(now, proxy)) {
        distrusted.add(proxy);
      }
    }
    return new SharedStateView(
        verdicts.evidence(now),
        verdicts.excludedCount(),
        slowStart.view(now),
        sinceResponseMs,
        served.ratesPerSecond(now),
        distrusted,
        verdicts.acceptedCount(),
        verdicts.rejectedCount(),
        pulls,
        sentMessages,
        sentBytes,
        unsentMessages,
        slowStart.spentCount(),
        slowStart.refusedCount());
  }

  /** Whether gossip currently excludes the node from this proxy's choice. */
  public boolean isExcluded(int node) {
    return verdicts.isExcluded(node);
  }
}
