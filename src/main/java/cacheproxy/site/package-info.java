/**
 * A stand-in site for real proxies on loopback: cache nodes, an origin and discovery. Only tests
 * and the tools for load and faults use it; the command {@code serve} does not.
 *
 * <p>Logic without sockets: {@link cacheproxy.site.ServiceQueue}, {@link
 * cacheproxy.site.ValueStore}, {@link cacheproxy.site.EndpointRegistry}, {@link
 * cacheproxy.site.SlowStartGuard}, and the {@link cacheproxy.site.Ledger}, which checks the rules
 * against what the servers and clients observed. Servers: {@link cacheproxy.site.Site} and the
 * classes that it starts.
 */
package cacheproxy.site;
