package cacheproxy.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Reads a complete segment or snapshot file into memory. */
final class StoredFile {
  /** Maximum size of a segment or snapshot file. Reading a larger file fails. */
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
