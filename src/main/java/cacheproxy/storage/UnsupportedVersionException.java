package cacheproxy.storage;

/** A stored file has an intact header of a format version that this program does not know. */
public final class UnsupportedVersionException extends StorageException {
  private static final long serialVersionUID = 1L;

  UnsupportedVersionException(String file, int version, int supportedVersion) {
    super(
        file
            + " was written by version "
            + version
            + " of this program's files, this is "
            + supportedVersion);
  }
}
