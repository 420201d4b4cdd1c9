package cacheproxy.storage;

/**
 * Thrown when a stored file has an intact header with a format version that this program does not
 * support.
 */
public final class UnsupportedVersionException extends StorageException {
  private static final long serialVersionUID = 1L;

  UnsupportedVersionException(String file, int version, int supportedVersion) {
    super(
        file
            + " has format version "
            + version
            + "; this program supports version "
            + supportedVersion);
  }
}
