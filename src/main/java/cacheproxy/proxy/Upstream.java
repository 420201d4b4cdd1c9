package cacheproxy.proxy;

import cacheproxy.proxy.Exchange.Attempt;
import cacheproxy.routing.RoutingApi.Outcome;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A server of the endpoint list and the connections to it. An attempt takes the idle connection
 * that was used last, so that the others age and can be closed. If none is idle, it opens a
 * connection or, at the limit, queues on the one with the fewest requests.
 */
final class Upstream {
  /** Opens a connection whose pipeline has these handlers. */
  interface Dialer {
    ChannelFuture dial(InetSocketAddress to, ChannelHandler... handlers);
  }

  final int id;
  final boolean origin;
  InetSocketAddress address;
  double startedMs;
  private final Dispatcher dispatcher;
  private final Dialer dialer;
  private final int maxConnections;

  /**
   * The limit including connections that stream a long value, which may take seconds and delays all
   * requests behind it.
   */
  private final int maxConnectionsWithStreams;

  private final int maxDepth;

  /**
   * After the server has refused a connection for lack of a slot, no further one is opened for this
   * long if there are others. Each refused connection costs the server a handshake and a request an
   * attempt.
   */
  private static final double CONNECTION_SLOT_RETRY_MS = 5000;

  private final List<UpstreamConnection> connections = new ArrayList<>(2);

  /** Attempts that wait until a connection may be used again, at most one for each. */
  private final Set<Attempt> waiting = new LinkedHashSet<>();

  private double noConnectionSlotUntilMs;

  Upstream(
      int id,
      boolean origin,
      Dispatcher dispatcher,
      Dialer dialer,
      int maxConnections,
      int maxConnectionsWithStreams,
      int maxDepth) {
    this.id = id;
    this.origin = origin;
    this.dispatcher = dispatcher;
    this.dialer = dialer;
    this.maxConnections = maxConnections;
    this.maxConnectionsWithStreams = maxConnectionsWithStreams;
    this.maxDepth = maxDepth;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /**
   * Sends the attempt, as soon as a connection may be used again if none may be used now. Returns
   * false if no connection can take it.
   */
  boolean send(Attempt attempt) {
    UpstreamConnection connection = connectionFor(attempt);
    if (connection == null) {
      return waitForReuse(attempt);
    }
    connection.send(attempt);
    return true;
  }

  /** A response without an id is matched to its request by its position alone. */
  private boolean isStrict(Attempt attempt) {
    return origin || attempt.exchange != null && !attempt.exchange.idempotent;
  }

  private UpstreamConnection connectionFor(Attempt attempt) {
    boolean strict = isStrict(attempt);
    UpstreamConnection best = chooseConnection(strict);
    while (best != null && strict && !best.readPendingInput()) {
      best = chooseConnection(true);
    }
    return best;
  }

  /** Keeps the attempt if there is a connection that may be used again soon. */
  private boolean waitForReuse(Attempt attempt) {
    boolean strict = isStrict(attempt);
    double delayMs = Double.POSITIVE_INFINITY;
    int resting = 0;
    for (UpstreamConnection connection : connections) {
      if (connection.isUsable(maxDepth)) {
        resting++;
        delayMs = Math.min(delayMs, connection.remainingReuseDelayMs(strict));
      }
    }
    if (resting <= waiting.size()) {
      return false;
    }
    waiting.add(attempt);
    dispatcher.after(delayMs, () -> sendWaiting(attempt));
    return true;
  }

  private void sendWaiting(Attempt attempt) {
    if (!waiting.remove(attempt) || attempt.ended) {
      return;
    }
    if (!UpstreamConnection.isWanted(attempt) || !send(attempt)) {
      dispatcher.end(attempt, Outcome.CONNECT_FAILED, 0, null, null);
    }
  }

  private UpstreamConnection chooseConnection(boolean strict) {
    UpstreamConnection best = null;
    UpstreamConnection resting = null;
    int open = 0;
    int streaming = 0;
    for (int i = connections.size() - 1; i >= 0; i--) {
      UpstreamConnection connection = connections.get(i);
      open += connection.isClosing() || connection.isStreaming() ? 0 : 1;
      streaming += connection.isStreaming() ? 1 : 0;
      if (!connection.isUsable(maxDepth)) {
        continue;
      }
      if (connection.remainingReuseDelayMs(strict) > 0) {
        resting = connection;
      } else if (best == null || connection.isPreferredTo(best)) {
        best = connection;
      }
    }
    boolean slotLikely = connections.isEmpty() || dispatcher.now() >= noConnectionSlotUntilMs;
    // If every connection is blocked by a response that is no longer needed, one more than the
    // limit may be opened.
    boolean wanted =
        best == null ? open <= maxConnections : best.depth() > 0 && open < maxConnections;
    if (wanted
        && open + streaming < maxConnectionsWithStreams
        && slotLikely
        && dispatcher.mayOpenUpstreamConnection()) {
      best = open();
    }
    // A cache node's responses carry the request's id, so a resting connection may be used.
    // Making space for a new connection may have closed this very one, so it is checked again.
    return best == null && !strict && resting != null && resting.isUsable(maxDepth)
        ? resting
        : best;
  }

  /** Opens a connection; returns null if that failed immediately. */
  private UpstreamConnection open() {
    UpstreamConnection connection = new UpstreamConnection(this);
    connections.add(connection);
    dispatcher.upstreamConnectionOpened();
    ChannelHandler[] handlers =
        origin
            ? OriginCodec.handlers(connection)
            : new ChannelHandler[] {new CacheCodec(connection)};
    ChannelFuture future = dialer.dial(address, handlers);
    connection.onConnecting(future, address);
    return connection.isClosing() ? null : connection;
  }

  void connectionClosed(UpstreamConnection connection) {
    if (connections.remove(connection)) {
      dispatcher.upstreamConnectionClosed();
    }
  }

  /**
   * Records that the server refused a connection for lack of a slot. Returns true if this proxy has
   * no other connection to it.
   */
  boolean connectionRefused() {
    noConnectionSlotUntilMs = dispatcher.now() + CONNECTION_SLOT_RETRY_MS;
    return connections.isEmpty();
  }

  boolean isEmpty() {
    return connections.isEmpty();
  }

  /** The connection that has been idle longest; null if none is idle. */
  UpstreamConnection longestIdle() {
    UpstreamConnection longest = null;
    for (UpstreamConnection connection : connections) {
      if (connection.depth() == 0
          && !connection.isClosing()
          && (longest == null || connection.idleSinceMs() < longest.idleSinceMs())) {
        longest = connection;
      }
    }
    return longest;
  }

  /** Closes the connections that have been idle since this time or longer. */
  void closeIdle(double sinceMs) {
    for (UpstreamConnection connection : List.copyOf(connections)) {
      if (connection.depth() == 0 && connection.idleSinceMs() <= sinceMs) {
        connection.close();
      }
    }
  }

  /**
   * Takes all connections out of use: the server is no longer listed, or has restarted or moved.
   * Each connection closes when its requests have ended.
   */
  void retire() {
    List.copyOf(connections).forEach(UpstreamConnection::retire);
  }

  /** Ends the attempts that wait for a connection, so that they can go to other servers. */
  void failUnsent() {
    List<Attempt> unsent = List.copyOf(waiting);
    waiting.clear();
    unsent.forEach(attempt -> dispatcher.end(attempt, Outcome.CONNECT_FAILED, 0, null, null));
    List.copyOf(connections).forEach(UpstreamConnection::failUnsent);
  }

  /** Ends attempts whose response is too slow or has stalled. */
  void sweep(double now) {
    for (UpstreamConnection connection : List.copyOf(connections)) {
      connection.sweep(now);
    }
  }
}
