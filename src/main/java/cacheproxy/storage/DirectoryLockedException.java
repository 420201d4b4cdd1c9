package cacheproxy.storage;

/**
 * Thrown when a journal's directory is locked by another process, or by another journal in this
 * process.
 */
public final class DirectoryLockedException extends StorageException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception for a locked directory.
   *
   * @param directory the directory, as shown in the error message
   */
  public DirectoryLockedException(String directory) {
    super(directory + " is locked and belongs to another running journal");
  }
}
