package cacheproxy.storage;

/**
 * The steps that make the journal survive a power loss. All are on in use; a test leaves one out to
 * show which failure it prevents.
 */
enum Safeguard {
  /** Checksums of records and snapshots are verified. */
  CHECKSUMS,
  /** A new segment and its name are synced before a record is written to it. */
  FSYNC_NEW_SEGMENT,
  /** A snapshot is synced before it gets its name. */
  FSYNC_SNAPSHOT,
  /** A snapshot is complete before the segments that it stands for are deleted. */
  SNAPSHOT_BEFORE_DELETE,
  /** Recovery looks behind a corrupt record for one that says the corrupt one was synced. */
  DAMAGE_SCAN
}
