/**
 * Test rig that runs real proxies as processes on one machine, injects faults into the processes
 * and the network between them, and compares each proxy's membership view with the actual state.
 * {@link cacheproxy.fleet.LinkFaults} and {@link cacheproxy.fleet.ObservedViews} use neither
 * sockets nor clocks; the other classes manage sockets and processes.
 */
package cacheproxy.fleet;
