/**
 * Rules of a proxy's operation: request counters, the log of cache nodes that operators have
 * ejected, and the takeover of the listening addresses by a new process. No I/O and no threads;
 * {@link cacheproxy.admin.Metrics} is owned by the proxy's event loop, all else is immutable or a
 * pure function.
 */
package cacheproxy.admin;
