/**
 * A stand-in site for real proxies on loopback. Rules: {@link cacheproxy.site.Station}, {@link
 * cacheproxy.site.Shelf}, {@link cacheproxy.site.Roster}, {@link cacheproxy.site.ColdGuard}, and
 * the {@link cacheproxy.site.Ledger} that judges by what ran. Sockets: {@link cacheproxy.site.Site}
 * and its fronts. Nothing here is loaded by {@code serve}.
 */
package cacheproxy.site;
