package cacheproxy.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** The CRC32C checksum, which protects all files that this package stores. */
final class Checksum {
  /** Size of a stored checksum in bytes. */
  static final int BYTES = Integer.BYTES;

  private Checksum() {}

  /** Returns the checksum of a range, without changing the buffer's position. */
  static int of(ByteBuffer buffer, int offset, int bytes) {
    CRC32C crc = new CRC32C();
    crc.update(buffer.slice(offset, bytes));
    return (int) crc.getValue();
  }

  /**
   * Returns one checksum over the remaining bytes of both buffers, and advances the positions of
   * both to their limits.
   */
  static int of(ByteBuffer header, ByteBuffer payload) {
    CRC32C crc = new CRC32C();
    crc.update(header);
    crc.update(payload);
    return (int) crc.getValue();
  }
}
