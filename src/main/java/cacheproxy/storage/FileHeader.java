package cacheproxy.storage;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The header of every stored file. Fields are big-endian: magic number (4 bytes), format version
 * (2), zero padding (2), record number (8), payload size in bytes (4), CRC32C over the preceding
 * fields (4).
 *
 * @param version the format version
 * @param number the number of the first record in a segment, or of the last record that a snapshot
 *     includes
 * @param payloadBytes the size of a snapshot's state in bytes; 0 in a segment
 */
record FileHeader(int version, long number, int payloadBytes) {
  /** Size of a header in bytes. */
  static final int BYTES = 24;

  /** The format version that this program writes, and the only version that it can read. */
  static final int CURRENT_VERSION = 1;

  private static final int VERSION_OFFSET = 4;
  private static final int NUMBER_OFFSET = 8;
  private static final int PAYLOAD_BYTES_OFFSET = 16;
  private static final int CHECKSUM_OFFSET = 20;

  /** Encodes a header of the current format version. */
  static ByteBuffer encode(FileKind kind, long number, int payloadBytes) {
    ByteBuffer header = ByteBuffer.allocate(BYTES);
    header.putInt(kind.magic());
    header.putShort((short) CURRENT_VERSION);
    header.putShort((short) 0);
    header.putLong(number);
    header.putInt(payloadBytes);
    header.putInt(Checksum.of(header, 0, CHECKSUM_OFFSET));
    return header.flip();
  }

  /**
   * Decodes the header at the start of a file. Returns empty if the file is shorter than a header,
   * is of another kind, or its header is corrupt.
   */
  static Optional<FileHeader> decode(FileKind kind, ByteBuffer file) {
    if (file.limit() < BYTES
        || file.getInt(0) != kind.magic()
        || file.getInt(CHECKSUM_OFFSET) != Checksum.of(file, 0, CHECKSUM_OFFSET)) {
      return Optional.empty();
    }
    return Optional.of(
        new FileHeader(
            file.getShort(VERSION_OFFSET),
            file.getLong(NUMBER_OFFSET),
            file.getInt(PAYLOAD_BYTES_OFFSET)));
  }

  void requireCurrentVersion(String fileName) throws UnsupportedVersionException {
    if (version != CURRENT_VERSION) {
      throw new UnsupportedVersionException(fileName, version, CURRENT_VERSION);
    }
  }
}
