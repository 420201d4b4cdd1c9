/**
 * A journal of records with snapshots that survives a power loss, above a minimal interface to
 * files; it knows nothing of what the records mean. A {@link cacheproxy.storage.Journal} owns its
 * directory and belongs to one thread, the one that opened it or that of a {@link
 * cacheproxy.storage.GroupCommitter}, which any thread may call.
 */
package cacheproxy.storage;
