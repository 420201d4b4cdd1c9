/**
 * Rules for bounded resources: memory by purpose, connection slots, minimum transfer rates, backoff
 * and warm-up, without I/O, threads or a clock of their own. The state belongs to the objects that
 * {@code cacheproxy.proxy} creates, which calls them on its one event loop thread and carries out
 * what they decide.
 */
package cacheproxy.limits;
