/**
 * What the proxies of a tier share, with three kinds of promises: counts that are never lost nor
 * doubled, rights whose sum is never over the bound, judgements that heal by themselves. Rules
 * alone, in times that the caller gives.
 */
package cacheproxy.shared;
