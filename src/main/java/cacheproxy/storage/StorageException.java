package cacheproxy.storage;

import java.io.IOException;

/** An error of this package's own making, in contrast to an error that the file system reports. */
public class StorageException extends IOException {
  private static final long serialVersionUID = 1L;

  /** An error without another one as its cause. */
  StorageException(String message) {
    super(message);
  }

  /** An error that another one caused. */
  StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
