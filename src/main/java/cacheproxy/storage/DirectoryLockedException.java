package cacheproxy.storage;

/** The directory of a journal is in use by another process, or elsewhere in this one. */
public final class DirectoryLockedException extends StorageException {
  private static final long serialVersionUID = 1L;

  /**
   * Names the directory.
   *
   * @param directory as it is to be shown to an operator
   */
  public DirectoryLockedException(String directory) {
    super(directory + " belongs to another process that runs");
  }
}
