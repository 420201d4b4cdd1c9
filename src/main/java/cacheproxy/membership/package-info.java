/**
 * Who of the tier's proxies is there: rules alone, in times that the caller gives. Hints with an
 * age, never more.
 */
package cacheproxy.membership;
