/**
 * An open-loop load generator for the clients' protocol. Rules: what is asked when ({@link
 * cacheproxy.load.Plan}), when a client comes again ({@link cacheproxy.load.ClientTimeouts}), what
 * it came to ({@link cacheproxy.load.ResultRecorder}). Sockets: {@link cacheproxy.load.Generator}.
 * Nothing here is loaded by {@code serve}.
 */
package cacheproxy.load;
