package cacheproxy.storage;

/**
 * Thrown for a write to a journal that is closed or has had a failed write. After a failed write or
 * fsync the content of the operating system's cache is unknown, so the journal must be reopened,
 * which runs recovery.
 */
public final class JournalFailedException extends StorageException {
  private static final long serialVersionUID = 1L;

  JournalFailedException() {
    super("journal is closed or a write failed before; reopen the journal to write again");
  }
}
