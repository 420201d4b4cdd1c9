/**
 * Load shedding by the proxy's share of a processor: rules without I/O that observe the event
 * loop's iterations and the requests that are read (docs/design-overload.md). Their state belongs
 * to one {@link cacheproxy.overload.CpuLoadShedder}, which the event loop thread of {@code
 * cacheproxy.proxy} calls.
 */
package cacheproxy.overload;
