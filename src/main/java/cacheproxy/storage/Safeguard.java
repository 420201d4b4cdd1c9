package cacheproxy.storage;

/**
 * The steps that protect the journal from power loss and corruption. Production code enables all of
 * them; tests disable one to show which failure it prevents.
 */
enum Safeguard {
  /** Verifies the checksums of records and snapshots. */
  CHECKSUMS,
  /** Syncs a new segment and its directory entry before a record is written to it. */
  FSYNC_NEW_SEGMENT,
  /** Syncs a snapshot before renaming it to its final name. */
  FSYNC_SNAPSHOT,
  /** Writes a snapshot completely before deleting the segments that it replaces. */
  SNAPSHOT_BEFORE_DELETE,
  /**
   * Scans the bytes after a corrupt record for a later record which proves that the corrupt one had
   * been synced.
   */
  DAMAGE_SCAN
}
