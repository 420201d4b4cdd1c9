/**
 * Client of the discovery service: polls or watches the endpoint list, parses it and passes it to
 * an {@link cacheproxy.proxy.discovery.EndpointListener}. Each proxy has one {@link
 * cacheproxy.proxy.discovery.DiscoveryClient}, whose state is confined to the proxy's event loop.
 */
package cacheproxy.proxy.discovery;
