/**
 * The routing policy: all decisions on routing, retries, rejection and admission. It does no I/O
 * and takes the time from its caller; {@link cacheproxy.routing.RoutingApi} is its only interface.
 * One {@link cacheproxy.routing.Policy} owns all state and is called by one thread, which is the
 * proxy's event loop or the simulator's reader.
 */
package cacheproxy.routing;
