package cacheproxy.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads a segment at recovery, and ends it before its first record that is not intact. Tells a torn
 * write, which a power loss explains, from damage, which it does not.
 */
final class SegmentReader {
  /** Receives a segment's intact records in order. */
  interface RecordConsumer {
    void accept(long number, byte[] payload);
  }

  /** How a segment was found. */
  sealed interface Outcome {
    /** All of it is intact. */
    record Intact() implements Outcome {}

    /**
     * Its end was a torn write and is cut off.
     *
     * @param tornBytes how much was cut off
     */
    record TornWrite(long tornBytes) implements Outcome {}

    /**
     * It is damaged.
     *
     * @param damage what was found
     * @param inUse whether the intact beginning stays in use; else the file was moved aside
     */
    record Damaged(Damage damage, boolean inUse) implements Outcome {}
  }

  private final Disk disk;
  private final RecordCodec codec;
  private final Quarantine quarantine;
  private final boolean scansForDamage;

  /**
   * A reader of segments on this disk.
   *
   * @param scansForDamage false only in tests: all that is not intact is taken for a torn write
   */
  SegmentReader(Disk disk, RecordCodec codec, Quarantine quarantine, boolean scansForDamage) {
    this.disk = disk;
    this.codec = codec;
    this.quarantine = quarantine;
    this.scansForDamage = scansForDamage;
  }

  /**
   * Reads the segment that begins with this record.
   *
   * @param isNewest whether it is the last one: only its end may be a torn write, as a segment is
   *     synced before the next one is created
   */
  Outcome read(long firstNumber, boolean isNewest, RecordConsumer consumer) throws IOException {
    String fileName = FileKind.SEGMENT.fileName(firstNumber);
    try (Disk.File file = disk.open(fileName)) {
      ByteBuffer segment = StoredFile.readFully(file);
      Optional<FileHeader> header = FileHeader.decode(FileKind.SEGMENT, segment);
      if (header.isEmpty() || header.get().number() != firstNumber) {
        if (isNewest && codec.findSyncedUpToAfter(segment, 0, firstNumber).isEmpty()) {
          return truncateTornWrite(file, segment, 0);
        }
        if (header.isPresent()) {
          header.get().requireCurrentVersion(fileName);
        }
        String keptAs = quarantine.moveToQuarantine(fileName);
        return new Outcome.Damaged(new Damage.CorruptHeader(fileName, keptAs), false);
      }
      header.get().requireCurrentVersion(fileName);
      return readRecords(file, segment, firstNumber, isNewest, consumer);
    }
  }

  private Outcome readRecords(
      Disk.File file,
      ByteBuffer segment,
      long firstNumber,
      boolean isNewest,
      RecordConsumer consumer)
      throws IOException {
    int offset = FileHeader.BYTES;
    long number = firstNumber;
    while (offset < segment.limit()) {
      Optional<StoredRecord> record = codec.decode(segment, offset);
      if (record.isEmpty() || record.get().number() != number) {
        break;
      }
      consumer.accept(number, record.get().payload(segment));
      number++;
      offset = record.get().endOffset();
    }
    if (offset == segment.limit()) {
      return new Outcome.Intact();
    }
    if (!isDamage(segment, offset, number, isNewest)) {
      return truncateTornWrite(file, segment, offset);
    }
    String fileName = FileKind.SEGMENT.fileName(firstNumber);
    String keptAs = quarantine.copyToQuarantine(fileName, segment);
    truncateAndSync(file, offset);
    return new Outcome.Damaged(new Damage.CorruptRecord(fileName, offset, number, keptAs), true);
  }

  /** Whether the record that is not intact had been synced before. */
  private boolean isDamage(ByteBuffer segment, int offset, long number, boolean isNewest) {
    if (!scansForDamage) {
      return false;
    }
    if (!isNewest) {
      return true;
    }
    OptionalLong syncedUpTo = codec.findSyncedUpToAfter(segment, offset, number);
    return syncedUpTo.isPresent() && syncedUpTo.getAsLong() >= number;
  }

  private static Outcome truncateTornWrite(Disk.File file, ByteBuffer segment, int offset)
      throws IOException {
    truncateAndSync(file, offset);
    return new Outcome.TornWrite(segment.limit() - offset);
  }

  private static void truncateAndSync(Disk.File file, int sizeBytes) throws IOException {
    file.truncate(sizeBytes);
    file.fsync();
  }
}
