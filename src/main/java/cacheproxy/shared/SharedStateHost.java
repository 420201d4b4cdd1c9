package cacheproxy.shared;

import cacheproxy.routing.RoutingApi;

/**
 * What {@link SharedState} needs of the process that it runs in. All methods are called on the
 * thread that calls the state.
 */
public interface SharedStateHost {
  /** Sends a datagram to the proxy of this number; may fail without notice. */
  void send(int proxy, byte[] datagram);

  /** Whether this proxy is present, by the tier's membership. */
  boolean isPresent(int proxy);

  /** How many proxies are present, this one included. */
  int presentCount();

  /** {@link SharedState#tick} is wanted by then, earlier than it said last. */
  void wakeUpBy(double atMs);

  /**
   * Others' verdict on a node has changed. The module is to be told by {@link
   * RoutingApi#onGossipedHealth}, but not from within its own call.
   */
  void verdictReceived(int node, boolean excluded);

  /** The verdict by gossip on a node has changed, for the log. */
  void verdictChanged(double now, int node, boolean excluded, String cause);
}
