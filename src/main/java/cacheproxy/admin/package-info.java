/**
 * Logic for operating a proxy, without I/O or threads: request counters, the log of cache nodes
 * that operators have ejected, and the takeover of the listening addresses by a new process. {@link
 * cacheproxy.admin.Metrics} is confined to the proxy's event loop; everything else is immutable or
 * a pure function.
 */
package cacheproxy.admin;
