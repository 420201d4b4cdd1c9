/**
 * State that the proxies of a tier share: health verdicts on cache nodes, counters of the answers
 * that the tier receives, and the slow-start quota of nodes that are warming up. {@link
 * cacheproxy.shared.SharedState} is the entry point and is called only on the proxy's event loop.
 * The package has no threads, sockets or clock of its own.
 */
package cacheproxy.shared;
