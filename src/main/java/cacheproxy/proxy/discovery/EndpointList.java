package cacheproxy.proxy.discovery;

import java.util.List;

/**
 * An answer of the discovery service.
 *
 * @param version of the list; each change of the list has a higher one
 * @param complete whether it names every endpoint; otherwise only those that have changed
 * @param endpoints in the answer's order, each host at most once
 */
record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {}
