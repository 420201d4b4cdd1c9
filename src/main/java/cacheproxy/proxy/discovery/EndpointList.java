package cacheproxy.proxy.discovery;

import java.util.List;

/**
 * A response of the discovery service: the complete endpoint list, or changes to it.
 *
 * @param version version of the list; it increases with each change
 * @param complete whether the response has all endpoints; otherwise it has only the changed ones
 * @param endpoints the endpoints in the order of the response, each host at most once
 */
record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {}
