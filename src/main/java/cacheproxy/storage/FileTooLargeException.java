package cacheproxy.storage;

/** Thrown when a file named like a segment or snapshot exceeds the maximum size of these files. */
public final class FileTooLargeException extends StorageException {
  private static final long serialVersionUID = 1L;

  FileTooLargeException(long sizeBytes, long maxBytes) {
    super("journal file is " + sizeBytes + " bytes; at most " + maxBytes + " bytes are supported");
  }
}
