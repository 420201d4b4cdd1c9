package cacheproxy.storage;

/** A file with the name of a segment or a snapshot is longer than either can be. */
public final class FileTooLargeException extends StorageException {
  private static final long serialVersionUID = 1L;

  FileTooLargeException(long sizeBytes, long maxBytes) {
    super("a file of " + sizeBytes + " bytes, at most " + maxBytes + " are a journal's");
  }
}
