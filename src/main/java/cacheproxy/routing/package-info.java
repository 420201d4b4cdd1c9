/**
 * The routing policy: every decision on routing, retries, rejection and admission, in virtual time
 * and without I/O; {@link cacheproxy.routing.RoutingApi} is its only interface. One {@link
 * cacheproxy.routing.Policy} owns all of its state and is called by one thread, the proxy's event
 * loop or the simulator's reader.
 */
package cacheproxy.routing;
