package cacheproxy.storage;

/**
 * A write to a journal that was closed or whose disk has failed. After a failed write or fsync the
 * content of the operating system's cache is unknown, so only a new recovery makes the journal
 * usable again.
 */
public final class JournalFailedException extends StorageException {
  private static final long serialVersionUID = 1L;

  JournalFailedException() {
    super("the disk has failed before: nothing more is written until the next start");
  }
}
