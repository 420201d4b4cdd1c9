package cacheproxy.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** CRC32C, the checksum of everything that this package stores. */
final class Checksum {
  /** Bytes that a stored checksum takes. */
  static final int BYTES = Integer.BYTES;

  private Checksum() {}

  /** The checksum of a range; the buffer's position is left as it is. */
  static int of(ByteBuffer buffer, int offset, int bytes) {
    CRC32C crc = new CRC32C();
    crc.update(buffer.slice(offset, bytes));
    return (int) crc.getValue();
  }

  /** One checksum over all that remains in both buffers, which are read to their ends. */
  static int of(ByteBuffer header, ByteBuffer payload) {
    CRC32C crc = new CRC32C();
    crc.update(header);
    crc.update(payload);
    return (int) crc.getValue();
  }
}
