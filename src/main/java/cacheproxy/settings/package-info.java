/**
 * The operator's file: read, checked as a whole against a schema of tables and keys, and handed on
 * as immutable tables. It holds no state and is called at the start alone, on the main thread; it
 * uses no other package of the proxy.
 */
package cacheproxy.settings;
