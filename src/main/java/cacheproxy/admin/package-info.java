/**
 * What operators ask of a running proxy and may tell it: figures, nodes out by hand, two versions
 * at once. No I/O.
 */
package cacheproxy.admin;
