/**
 * Real proxies as processes on one machine, faults of processes and between them, and the truth
 * beside what each believes. {@link cacheproxy.fleet.LinkFaults} and {@link
 * cacheproxy.fleet.ObservedViews} are rules, the rest sockets and processes.
 */
package cacheproxy.fleet;
