package cacheproxy.proxy;

import cacheproxy.admin.ListenerTakeover;
import cacheproxy.admin.ProcessStatus;
import cacheproxy.limits.ByteAccounts;
import cacheproxy.limits.ClientBackoff;
import cacheproxy.limits.ConnectionAdmissionPolicy;
import cacheproxy.limits.DisconnectCounters;
import cacheproxy.limits.DisconnectReason;
import cacheproxy.limits.FairShare;
import cacheproxy.limits.Limits;
import cacheproxy.limits.LoopLag;
import cacheproxy.limits.ResourcePressure;
import cacheproxy.limits.ResponseMemoryForecast;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Owns the connection slots of clients and chooses which connection is evicted when slots are
 * short. All descriptors of client connections are counted here, from before the accept call until
 * the selector has released the descriptor, so that {@link #inUse()} never exceeds the limit.
 */
final class ConnectionAdmission implements ClientConnection.Owner {
  /**
   * Connections accepted per round of the event loop, and slots kept free while a connection can be
   * evicted: the descriptor of a closed connection is released only in the next round, and without
   * free slots each new client would wait for that. With few slots, a good part of them stays
   * unused.
   */
  private static final int MAX_ACCEPTS_PER_ROUND = 16;

  /**
   * After a failed accept, no connection is accepted for this time; new ones wait in the kernel's
   * backlog.
   */
  private static final long ACCEPT_RETRY_DELAY_MS = 10;

  private static final long SWEEP_INTERVAL_MS = 50;

  /** Minimum interval between two log lines about disconnects. */
  private static final double LOG_INTERVAL_MS = 10_000;

  /**
   * Full connection slots count as this utilization, which is within the pressure level that halves
   * the graces of slow writers and silent clients. A higher level would be too strict for slow
   * writers, as eviction already resolves a shortage of slots.
   */
  private static final double SLOT_PRESSURE_WEIGHT = 0.8;

  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final Limits limits;
  private final ConnectionAdmissionPolicy policy;
  private final ClientBackoff backoff = new ClientBackoff();
  private final LoopLag loopLag = new LoopLag();
  private final ResourcePressure pressure = new ResourcePressure();
  private final ByteAccounts accounts;
  private final ResponseMemoryForecast responseMemory;
  private final DisconnectCounters disconnectCounters;
  private final Set<ClientConnection> clients = new LinkedHashSet<>();
  private Channel listener;

  /** Connections accepted in this round that are not yet in {@link #clients}. */
  private int accepting;

  /** Closed connections whose descriptor the selector holds until its next round. */
  private int releasing;

  /** Slots left to another process of this proxy while it runs. */
  private int reservedForOtherProcess;

  private int peakInUse;
  private boolean acceptPaused;
  private boolean stopped;
  private double sweepDueMs;
  private double lastLogMs;

  ConnectionAdmission(EventLoop loop, Dispatcher dispatcher) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    limits = dispatcher.limits();
    accounts = dispatcher.accounts();
    responseMemory = new ResponseMemoryForecast(accounts, MetaCodec.MAX_BUFFERED_VALUE_BYTES);
    disconnectCounters = dispatcher.disconnectCounters();
    int maxConnections = limits.maxConnections();
    policy =
        new ConnectionAdmissionPolicy(
            maxConnections,
            limits.maxActiveClients(),
            Math.min(MAX_ACCEPTS_PER_ROUND, maxConnections / 8),
            limits.evictIdle());
  }

  static int maxAcceptsPerRound() {
    return MAX_ACCEPTS_PER_ROUND;
  }

  void start(Channel newListener) {
    listener = newListener;
    scheduleSweep();
  }

  /** Stops the sweeps. Used when the warm-up ends. */
  void stop() {
    stopped = true;
  }

  Set<ClientConnection> clients() {
    return clients;
  }

  /** The number of descriptors held by client connections. */
  int inUse() {
    return clients.size() + accepting + releasing;
  }

  /** Updates the number of slots that are left to another process of this proxy. */
  void reserve(int sockets, ProcessStatus other) {
    reservedForOtherProcess =
        ListenerTakeover.reservedClientSlots(
            sockets, policy.maxConnections(), dispatcher.upstreamDescriptors(), other);
    if (listener != null) {
      resumeAccepting();
    }
  }

  /** The highest value of {@link #inUse()} so far. */
  int peakInUse() {
    return peakInUse;
  }

  int maxConnections() {
    return policy.maxConnections();
  }

  // ---- calls of the listener

  /**
   * Whether another connection may be accepted now. If not, accepting is paused until a slot is
   * free.
   */
  boolean mayAccept() {
    if (!acceptPaused && hasFreeSlot()) {
      return true;
    }
    if (!acceptPaused) {
      evictForNewClients();
    }
    listener.config().setAutoRead(false);
    return false;
  }

  private boolean hasFreeSlot() {
    return inUse() + reservedForOtherProcess < policy.maxConnections();
  }

  /**
   * Counts accepted connections. Each is added by {@link #addClient}, or was closed after an error
   * by the end of the round.
   */
  void connectionsAccepted(int n) {
    accepting += n;
    peakInUse = Math.max(peakInUse, inUse());
  }

  /**
   * The accept round has ended: connections that were not added by now were closed after an error.
   */
  void acceptRoundEnded() {
    releaseSlots(accepting);
    accepting = 0;
  }

  void acceptFailed(Throwable cause) {
    dispatcher.log("a connection could not be taken: " + cause);
    ClientConnection first =
        policy.selectVictim(dispatcher.now(), clients, policy.maxConnections());
    if (first != null) {
      evictUnlessRequestArrived(first);
    }
    acceptPaused = true;
    listener.config().setAutoRead(false);
    loop.schedule(
        () -> {
          acceptPaused = false;
          resumeAccepting();
        },
        ACCEPT_RETRY_DELAY_MS,
        TimeUnit.MILLISECONDS);
  }

  // ---- connects and disconnects

  void addClient(Channel channel) {
    ClientConnection client = new ClientConnection(dispatcher, this);
    channel.pipeline().addLast(client);
    // Before the client is added, so that it can't be evicted before it could send a request.
    // Otherwise the next sweep evicts: the selection examines each client.
    if (policy.isShortOfSlots(clients.size(), accepting + reservedForOtherProcess)) {
      evictForNewClients();
    }
    accepting = Math.max(0, accepting - 1);
    clients.add(client);
  }

  @Override
  public void firstRequestReceived(ClientConnection client) {
    policy.recordNewClient(dispatcher.now());
  }

  @Override
  public void requestAnswered(ClientConnection client) {
    if (limits.clientBackoff()) {
      backoff.recordServed(dispatcher.now(), client.address());
    }
  }

  @Override
  public void commandRejected(ClientConnection client) {
    if (limits.clientBackoff()) {
      backoff.recordRejected(dispatcher.now(), client.address());
    }
  }

  @Override
  public double errorBackoffMs(ClientConnection client) {
    double delayMs =
        limits.clientBackoff() ? backoff.delayMs(dispatcher.now(), client.address()) : 0;
    if (delayMs > 0) {
      disconnectCounters.increment(DisconnectReason.BACKED_OFF);
    }
    return delayMs;
  }

  @Override
  public int maxUnreadPipelined() {
    return pressure.level().maxUnreadPipelined();
  }

  @Override
  public void responseReceived(int bytes) {
    responseMemory.recordResponse(bytes);
  }

  @Override
  public boolean hasMemoryForPipelinedCommand() {
    return responseMemory.hasCapacityForAnother(dispatcher.openRequests() + clients.size());
  }

  /** Disconnects one client per call, because its memory is released gradually. */
  @Override
  public void responseMemoryExhausted() {
    ClientConnection next = FairShare.selectVictim(dispatcher.now(), clients);
    if (next != null) {
      disconnect(next, DisconnectReason.UNFAIR_SHARE);
    }
  }

  /** The connection was closed by either side. */
  void clientDisconnected(ClientConnection client) {
    if (clients.remove(client)) {
      releaseSlots(1);
    }
  }

  /**
   * The descriptor of a closed channel is released when the selector has dropped its key, before
   * the next accept round.
   */
  private void releaseSlots(int n) {
    if (n > 0) {
      releasing += n;
      loop.execute(
          () -> {
            releasing -= n;
            resumeAccepting();
          });
    }
  }

  private void resumeAccepting() {
    if (!acceptPaused && listener != null && !listener.config().isAutoRead() && hasFreeSlot()) {
      listener.config().setAutoRead(true);
    }
  }

  /**
   * Evicts connections until the policy selects none. Each is examined once: a client that sends a
   * new request whenever it is examined would otherwise keep the loop busy; it is examined again at
   * the next call.
   */
  private void evictForNewClients() {
    Set<ClientConnection> examined = new HashSet<>();
    for (ClientConnection c;
        (c = policy.selectVictim(dispatcher.now(), clients, accepting + reservedForOtherProcess))
            != null; ) {
      if (!evictUnlessRequestArrived(c) && !examined.add(c)) {
        return;
      }
    }
  }

  /**
   * Evicts the client, unless a request of its has arrived in the kernel and was not read yet:
   * closing the connection would lose that request. Available input is read first, and the reason
   * for the eviction must still hold after it. Returns whether the client was evicted.
   */
  private boolean evictUnlessRequestArrived(ClientConnection client) {
    boolean unproductive = client.isUnproductive();
    boolean busy = !unproductive && client.isBusy();
    if (!busy
        && client.readAvailableInput()
        && (unproductive ? !client.isUnproductive() : client.isBusy())) {
      return false;
    }
    disconnect(
        client,
        unproductive
            ? DisconnectReason.NO_VALID_REQUEST
            : busy ? DisconnectReason.UNFAIR_SHARE : DisconnectReason.IDLE);
    return true;
  }

  /**
   * Disconnects the client if it is too slow or silent. Available input is read before the final
   * decision. A client that is owed an answer while it sends the next command too slowly gets that
   * answer first.
   */
  private void disconnectIfTooSlow(ClientConnection client, double graceFactor) {
    if (client.reasonToDisconnect(dispatcher.now(), graceFactor) != null) {
      client.readAvailableInput();
      DisconnectReason reason = client.reasonToDisconnect(dispatcher.now(), graceFactor);
      if (reason == DisconnectReason.SLOW_WRITER && client.isOwedAnswer()) {
        disconnectCounters.increment(reason);
        client.rejectIncompleteCommand();
      } else if (reason != null) {
        disconnect(client, reason);
      }
    }
  }

  /**
   * Disconnects the client. It is removed from the set at once, so that it is not selected again; a
   * client that has already disconnected is ignored.
   */
  private void disconnect(ClientConnection client, DisconnectReason reason) {
    if (!clients.remove(client)) {
      return;
    }
    releaseSlots(1);
    disconnectCounters.increment(reason);
    if (reason != DisconnectReason.IDLE
        && reason != DisconnectReason.NO_VALID_REQUEST) { // these two are not the client's fault
      commandRejected(client);
    }
    client.close();
  }

  /**
   * Schedules the next sweep relative to the end of the last. A fixed rate would run several sweeps
   * in a row after a late one.
   */
  private void scheduleSweep() {
    if (stopped) {
      return;
    }
    sweepDueMs = dispatcher.now() + SWEEP_INTERVAL_MS;
    loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    try {
      double now = dispatcher.now();
      loopLag.recordTick(sweepDueMs, now);
      ResourcePressure.Level level =
          pressure.update(
              Math.max(
                  accounts.utilization(),
                  Math.max(
                      loopLag.utilization(now),
                      (double) inUse() / policy.maxConnections() * SLOT_PRESSURE_WEIGHT)));
      for (ClientConnection c : List.copyOf(clients)) {
        disconnectIfTooSlow(c, level.graceFactor());
        c.detectDisconnectIfPaused();
      }
      evictForNewClients();
      resumeAccepting();
      logDisconnects(now);
    } catch (Throwable t) {
      dispatcher.logFault(t);
    } finally {
      scheduleSweep();
    }
  }

  private void logDisconnects(double now) {
    if (now - lastLogMs >= LOG_INTERVAL_MS) {
      lastLogMs = now;
      String newCounts = disconnectCounters.reportNew();
      if (!newCounts.isEmpty()) {
        dispatcher.log(
            "cut off: "
                + newCounts
                + "; "
                + pressure.level().logName()
                + ", "
                + inUse()
                + " of "
                + policy.maxConnections()
                + " places, loop late by "
                + Math.round(loopLag.maxLatenessMs(now))
                + " ms, held "
                + accounts.reservedByLogName()
                + ", at most "
                + accounts.peaksByLogName());
      }
    }
  }
}
