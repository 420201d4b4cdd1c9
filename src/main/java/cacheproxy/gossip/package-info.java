/**
 * The gossip between the proxies of a tier about versions of the endpoint list, as rules without
 * I/O: hints that may be out of date. Each object's state belongs to the caller, who uses it on the
 * event loop's thread only.
 */
package cacheproxy.gossip;
