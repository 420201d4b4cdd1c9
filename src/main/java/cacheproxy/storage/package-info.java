/**
 * A crash-safe journal of records with snapshots, built on a minimal file system interface. The
 * content of records is opaque to this package. A {@link cacheproxy.storage.Journal} has exclusive
 * use of its directory and must be used by one thread at a time: the thread that opened it, or that
 * of a {@link cacheproxy.storage.GroupCommitter}, whose methods any thread may call.
 */
package cacheproxy.storage;
