/**
 * What proxies of a tier tell one another, as rules without I/O: hints with an age, never a proof.
 */
package cacheproxy.gossip;
