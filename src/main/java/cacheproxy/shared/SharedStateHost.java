package cacheproxy.shared;

import cacheproxy.routing.RoutingApi;

/**
 * The services that {@link SharedState} needs from its process. All methods are called on the
 * thread that calls {@link SharedState}.
 */
public interface SharedStateHost {
  /** Sends a datagram to the proxy with this number. The datagram may be lost without an error. */
  void send(int proxy, byte[] datagram);

  /** Whether the membership of the tier lists this proxy as present. */
  boolean isPresent(int proxy);

  /** The number of present proxies, including this one. */
  int presentCount();

  /**
   * Requests a call of {@link SharedState#tick} by this time, which is earlier than the last result
   * of {@link SharedState#nextTickMs}.
   */
  void wakeUpBy(double atMs);

  /**
   * Called when the verdict on a node has changed, to be passed to the routing module by {@link
   * RoutingApi#onGossipedHealth}. That call must be deferred, as this method may run inside a call
   * from the routing module.
   */
  void verdictReceived(int node, boolean excluded);

  /** Called when gossip excludes or reinstates a node, for the log. */
  void verdictChanged(double now, int node, boolean excluded, String cause);
}
