/**
 * The client of the discovery service: it polls or watches the endpoint list, parses it and hands
 * it to an {@link cacheproxy.proxy.discovery.EndpointListener}. Its state is owned by the one
 * {@link cacheproxy.proxy.discovery.DiscoveryClient} of a proxy and is used on the proxy's event
 * loop only.
 */
package cacheproxy.proxy.discovery;
