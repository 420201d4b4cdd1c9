package cacheproxy.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads a segment or a snapshot, which is always read completely. */
final class StoredFile {
  /** A longer file is neither a segment nor a snapshot. */
  static final int MAX_BYTES = 64 << 20;

  private StoredFile() {}

  static ByteBuffer readFully(Disk.File file) throws IOException {
    long sizeBytes = file.size();
    if (sizeBytes > MAX_BYTES) {
      throw new FileTooLargeException(sizeBytes, MAX_BYTES);
    }
    ByteBuffer content = ByteBuffer.allocate((int) sizeBytes);
    file.read(0, content);
    return content.flip();
  }
}
