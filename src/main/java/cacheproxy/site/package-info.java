/**
 * A stand-in site for real proxies on loopback. Rules: {@link cacheproxy.site.ServiceQueue}, {@link
 * cacheproxy.site.ValueStore}, {@link cacheproxy.site.EndpointRegistry}, {@link
 * cacheproxy.site.SlowStartGuard}, and the {@link cacheproxy.site.Ledger} that judges by what ran.
 * Sockets: {@link cacheproxy.site.Site} and its fronts. Nothing here is loaded by {@code serve}.
 */
package cacheproxy.site;
