/**
 * Failure detection and group membership among the proxies of one tier: SWIM with the extensions of
 * Lifeguard, implemented without I/O and without a clock of its own: the caller passes the present
 * time and sends the datagrams. All state belongs to {@link cacheproxy.membership.Membership},
 * which is called on the event loop's thread only.
 */
package cacheproxy.membership;
