package cacheproxy.proxy.discovery;

import cacheproxy.routing.RoutingApi.ListKind;
import java.util.List;

/** Listener for endpoint lists and failed discovery calls. Called on the proxy's event loop. */
public interface EndpointListener {
  /**
   * Handles a new endpoint list, changes to the list, or a failed call to the discovery service.
   *
   * @param kind whether the endpoints are the complete list, the changed ones or those in the
   *     configuration, or the call has failed
   * @param endpoints the endpoints; empty if the call has failed
   */
  void onEndpointList(ListKind kind, List<Endpoint> endpoints);
}
