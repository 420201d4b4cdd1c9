/**
 * Communication between the proxies of a tier: the datagram socket that they share, and the
 * protocols that use it: membership, shared state and versions of the endpoint list. All of it runs
 * on the event loop.
 */
package cacheproxy.proxy.peers;
