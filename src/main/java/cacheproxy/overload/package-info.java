/**
 * Load shedding when the proxy does not get enough processor time (docs/design-overload.md). The
 * classes observe the iterations of the event loop and the requests that it reads; they perform no
 * I/O. The entry point is {@link cacheproxy.overload.CpuLoadShedder}, which the event loop thread
 * of {@code cacheproxy.proxy} calls.
 */
package cacheproxy.overload;
