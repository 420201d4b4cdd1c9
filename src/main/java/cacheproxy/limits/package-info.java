/**
 * Limits on resources: buffer memory by purpose, connection slots, minimum transfer rates, client
 * backoff and the warm-up time. The classes decide only; they perform no I/O, start no threads and
 * read no clock. The package {@code cacheproxy.proxy} creates the objects, calls them on its event
 * loop thread and carries out their decisions.
 */
package cacheproxy.limits;
