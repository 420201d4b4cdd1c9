/**
 * Failure detection and group membership among the proxies of one tier: SWIM with the extensions of
 * Lifeguard, as rules without I/O, in times that the caller passes. All state belongs to {@link
 * cacheproxy.membership.Membership}, which is called on the event loop's thread only.
 */
package cacheproxy.membership;
