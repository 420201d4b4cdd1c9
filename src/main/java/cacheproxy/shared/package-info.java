/**
 * What the proxies of a tier share: health verdicts on cache nodes, counters of what the tier
 * serves, and the slow-start quota of nodes that are warming up. {@link
 * cacheproxy.shared.SharedState} owns all of it and is called on the proxy's one event loop; the
 * package itself has no threads, no sockets and no clock.
 */
package cacheproxy.shared;
