package cacheproxy.storage;

import java.io.IOException;

/**
 * Base class of the errors that this package detects itself, as opposed to errors that the file
 * system reports.
 */
public class StorageException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  StorageException(String message) {
    super(message);
  }

  /** Creates an exception with a cause. */
  StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
