package cacheproxy.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The stored form of a record, big-endian: payload bytes (4), record number (8), the number up to
 * which all records were synced when it was written (8), CRC32C over these and the payload (4), the
 * payload.
 */
final class RecordCodec {
  /** Bytes of a record before its payload. */
  static final int HEADER_BYTES = 24;

  private static final int NUMBER_OFFSET = 4;
  private static final int SYNCED_UP_TO_OFFSET = 12;
  private static final int CHECKSUM_OFFSET = 20;

  private final int maxPayloadBytes;
  private final boolean verifiesChecksums;

  /**
   * A codec for records up to a length.
   *
   * @param maxPayloadBytes a record that claims more is taken for corrupt
   * @param verifiesChecksums false only in tests that show what checksums are for
   */
  RecordCodec(int maxPayloadBytes, boolean verifiesChecksums) {
    this.maxPayloadBytes = maxPayloadBytes;
    this.verifiesChecksums = verifiesChecksums;
  }

  static ByteBuffer encode(long number, long syncedUpTo, byte[] payload) {
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    record.putInt(payload.length);
    record.putLong(number);
    record.putLong(syncedUpTo);
    record.putInt(0); // replaced by the checksum
    record.put(payload);
    record.putInt(CHECKSUM_OFFSET, checksum(record, 0, payload.length));
    return record.flip();
  }

  private static int checksum(ByteBuffer segment, int offset, int payloadBytes) {
    return Checksum.of(
        segment.slice(offset, CHECKSUM_OFFSET), segment.slice(offset + HEADER_BYTES, payloadBytes));
  }

  /** The record that begins at this offset; empty: none that is intact does. */
  Optional<StoredRecord> decode(ByteBuffer segment, int offset) {
    int payloadOffset = offset + HEADER_BYTES;
    if (payloadOffset > segment.limit()) {
      return Optional.empty();
    }
    int payloadBytes = segment.getInt(offset);
    if (payloadBytes < 1
        || payloadBytes > maxPayloadBytes
        || payloadOffset + payloadBytes > segment.limit()) {
      return Optional.empty();
    }
    if (verifiesChecksums
        && segment.getInt(offset + CHECKSUM_OFFSET) != checksum(segment, offset, payloadBytes)) {
      return Optional.empty();
    }
    return Optional.of(
        new StoredRecord(
            segment.getLong(offset + NUMBER_OFFSET),
            segment.getLong(offset + SYNCED_UP_TO_OFFSET),
            payloadOffset,
            payloadBytes));
  }

  /**
   * The greatest number that an intact record anywhere behind an offset says was synced; empty: no
   * intact record is there. Looks at every byte, as the length of a corrupt record is unknown.
   *
   * @param firstNumber records with lesser numbers are not counted
   */
  OptionalLong findSyncedUpToAfter(ByteBuffer segment, int offset, long firstNumber) {
    OptionalLong syncedUpTo = OptionalLong.empty();
    for (int candidateOffset = offset + 1;
        candidateOffset + HEADER_BYTES < segment.limit();
        candidateOffset++) {
      long number = segment.getLong(candidateOffset + NUMBER_OFFSET);
      if (number < firstNumber || number >= firstNumber + segment.limit()) {
        continue;
      }
      Optional<StoredRecord> record = decode(segment, candidateOffset);
      if (record.isPresent()) {
        long synced = record.get().syncedUpTo();
        syncedUpTo = OptionalLong.of(Math.max(syncedUpTo.orElse(synced), synced));
      }
    }
    return syncedUpTo;
  }
}
