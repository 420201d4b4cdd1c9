/**
 * Reads the operator's file, validates it against a schema of tables and keys, and returns
 * immutable tables. The package keeps no state and depends on no other package of the proxy. It is
 * called only at start-up, on the main thread.
 */
package cacheproxy.settings;
