/**
 * What goes between the proxies of a tier: the one datagram socket and who speaks over it. On the
 * event loop; uses no other room.
 */
package cacheproxy.proxy.peers;
