package cacheproxy.storage;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The header of every stored file, big-endian: magic number (4 bytes), format version (2), zero
 * (2), record number (8), payload bytes (4), CRC32C over all of these (4).
 *
 * @param version of the format
 * @param number the first record of a segment, the last record that a snapshot stands for
 * @param payloadBytes of a snapshot's state; 0 in a segment
 */
record FileHeader(int version, long number, int payloadBytes) {
  /** Bytes that a header takes. */
  static final int BYTES = 24;

  /** The format that this program writes, and the only one that it reads. */
  static final int CURRENT_VERSION = 1;

  private static final int VERSION_OFFSET = 4;
  private static final int NUMBER_OFFSET = 8;
  private static final int PAYLOAD_BYTES_OFFSET = 16;
  private static final int CHECKSUM_OFFSET = 20;

  /** A header of the current version, ready to be written. */
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

  /** Reads the header at the start of a file; empty: it is short, of another kind or corrupt. */
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
