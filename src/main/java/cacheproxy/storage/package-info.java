/**
 * A log with snapshots that survives a loss of power, on one small interface to files. Knows
 * nothing of what is written.
 */
package cacheproxy.storage;
