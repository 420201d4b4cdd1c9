/**
 * Gossip between the proxies of a tier about versions of the endpoint list, implemented without
 * I/O: the caller passes the present time and sends the messages. The exchanged versions are hints
 * that may be out of date. The classes are not thread-safe and are used on the event loop's thread
 * only.
 */
package cacheproxy.gossip;
