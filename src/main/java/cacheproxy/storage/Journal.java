package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * A write-ahead log. Records are numbered from 1 in the order in which they are appended, and are
 * stored in segment files. A snapshot replaces all records up to a given number, so that older
 * segments can be deleted. After a power loss the journal holds a prefix of the appended records,
 * which includes at least all records that were synced.
 *
 * <ul>
 *   <li>After a power loss, any part of the unsynced writes may be on disk, in any order. Recovery
 *       therefore truncates the newest segment before its first record that is not intact.
 *   <li>Each record stores the number of the last record that was synced when it was written.
 *       Recovery reports as {@link Damage} a missing segment, a corrupt snapshot, and a corrupt
 *       record that a later record lists as synced.
 *   <li>The directory entry of a new segment is synced before a record is written to the segment. A
 *       snapshot's content is synced before the file gets its final name, and that name is synced
 *       before the records that the snapshot replaces are deleted.
 *   <li>After a disk error the journal accepts no more writes, because it is unknown whether the
 *       records appended since the last fsync are on disk.
 * </ul>
 *
 * <p>Not thread-safe. Methods block until the disk operation completes, so they must not be called
 * on an event loop; use {@link GroupCommitter} there.
 */
public final class Journal implements Closeable {
  /**
   * Size limits for segments and records.
   *
   * @param segmentBytes maximum size of a segment that holds more than one record, from 64 bytes to
   *     32 MiB; a record that would exceed it starts a new segment
   * @param maxRecordBytes maximum payload size of a record, from 1 byte to 16 MiB
   */
  public record Options(long segmentBytes, int maxRecordBytes) {
    /** Segments of up to 4 MiB, records of up to 64 KiB. */
    public static final Options DEFAULT = new Options(4 << 20, 1 << 16);

    private static final int MIN_SEGMENT_BYTES = 64;
    private static final int MAX_SEGMENT_BYTES = StoredFile.MAX_BYTES / 2;
    private static final int MAX_RECORD_BYTES = 1 << 24;

    /** Throws an IllegalArgumentException if a value is outside its documented range. */
    public Options {
      if (segmentBytes < MIN_SEGMENT_BYTES
          || segmentBytes > MAX_SEGMENT_BYTES
          || maxRecordBytes < 1
          || maxRecordBytes > MAX_RECORD_BYTES) {
        throw new IllegalArgumentException(
            "journal limits out of range: segmentBytes="
                + segmentBytes
                + ", maxRecordBytes="
                + maxRecordBytes);
      }
    }
  }

  private static final int MAX_SNAPSHOT_BYTES = StoredFile.MAX_BYTES / 2;

  private final Disk disk;
  private final Options options;
  private final Set<Safeguard> disabledSafeguards;
  private final SnapshotStore snapshots;
  private final Closeable lock;

  /**
   * First record number of each segment in use, in ascending order. New records are appended to the
   * last segment.
   */
  private List<Long> segments = List.of();

  private RecoveryReport recoveryReport = new RecoveryReport(0, 0, 0, List.of());

  /** The segment that new records are appended to; null until recovery completes. */
  private SegmentWriter activeSegment;

  private long lastRecordNumber;
  private long syncedUpTo;
  private boolean failed;

  private Journal(Disk disk, Options options, Set<Safeguard> disabledSafeguards)
      throws IOException {
    this.disk = disk;
    this.options = options;
    this.disabledSafeguards = disabledSafeguards;
    snapshots =
        new SnapshotStore(disk, enabled(Safeguard.CHECKSUMS), enabled(Safeguard.FSYNC_SNAPSHOT));
    lock = disk.lock();
  }

  /**
   * Recovers the journal from disk, replays its content to the handler, and returns it ready for
   * appends.
   *
   * @throws DirectoryLockedException if another journal holds the directory lock
   * @throws UnsupportedVersionException if a segment has a different format version, for example
   *     after a downgrade
   * @throws IOException if a disk operation fails
   */
  public static Journal open(Disk disk, Options options, ReplayHandler handler) throws IOException {
    return open(disk, options, handler, EnumSet.noneOf(Safeguard.class));
  }

  static Journal open(
      Disk disk, Options options, ReplayHandler handler, Set<Safeguard> disabledSafeguards)
      throws IOException {
    Journal journal = new Journal(disk, options, disabledSafeguards);
    try {
      journal.recover(handler);
      return journal;
    } catch (IOException | RuntimeException e) {
      journal.close();
      throw e;
    }
  }

  private boolean enabled(Safeguard safeguard) {
    return !disabledSafeguards.contains(safeguard);
  }

  private void recover(ReplayHandler handler) throws IOException {
    RecordCodec codec = new RecordCodec(options.maxRecordBytes(), enabled(Safeguard.CHECKSUMS));
    Quarantine quarantine = new Quarantine(disk);
    SegmentReader segmentReader =
        new SegmentReader(disk, codec, quarantine, enabled(Safeguard.DAMAGE_SCAN));
    Recovery.Result recovered =
        new Recovery(disk, snapshots, segmentReader, quarantine, handler).run();
    recoveryReport = recovered.report();
    segments = recovered.segments();
    lastRecordNumber = recoveryReport.lastRecordNumber();
    if (recovered.needsNewSegment()) {
      startSegment(lastRecordNumber + 1);
      return;
    }
    long newest = segments.get(segments.size() - 1);
    activeSegment = SegmentWriter.reopen(disk, newest);
    if (activeSegment.isUnfinished()) {
      activeSegment.close();
      startSegment(newest);
    } else {
      // a killed process may have left records in the operating system's cache only
      syncActiveSegment();
    }
  }

  /** Returns the result of the recovery that ran when this journal was opened. */
  public RecoveryReport recoveryReport() {
    return recoveryReport;
  }

  /** Returns the number of the last record, or 0 if the journal has no records. */
  public long lastRecordNumber() {
    return lastRecordNumber;
  }

  /**
   * Appends a record. The record survives a power loss once a subsequent {@link #fsync} has
   * returned.
   *
   * @return the number of the appended record
   * @throws JournalFailedException if the journal is closed or an earlier write failed
   * @throws IllegalArgumentException if the payload is empty or longer than {@link
   *     Options#maxRecordBytes}
   */
  public long append(byte[] payload) throws IOException {
    if (payload.length < 1 || payload.length > options.maxRecordBytes()) {
      throw new IllegalArgumentException(
          "record payload is "
              + payload.length
              + " bytes; must be 1 to "
              + options.maxRecordBytes()
              + " bytes");
    }
    return runUnlessFailed(
        () -> {
          if (activeSegment.hasRecords() && !fitsActiveSegment(payload)) {
            syncActiveSegment(); // recovery replays a segment only if the previous one is complete
            activeSegment.close();
            startSegment(lastRecordNumber + 1);
          }
          activeSegment.append(RecordCodec.encode(lastRecordNumber + 1, syncedUpTo, payload));
          lastRecordNumber++;
          return lastRecordNumber;
        });
  }

  private boolean fitsActiveSegment(byte[] payload) {
    return activeSegment.sizeBytes() + RecordCodec.HEADER_BYTES + payload.length
        <= options.segmentBytes();
  }

  /**
   * Blocks until all appended records survive a power loss.
   *
   * @throws JournalFailedException if the journal is closed or an earlier write failed
   */
  public void fsync() throws IOException {
    runUnlessFailed(
        () -> {
          syncActiveSegment();
          return lastRecordNumber;
        });
  }

  /**
   * Writes a snapshot that replaces all records up to {@code upTo}, then deletes older snapshots
   * and all segments that only hold replaced records.
   *
   * @param upTo number of the last record that the state includes; records after it are kept
   * @param state the application state after that record
   * @throws JournalFailedException if the journal is closed or an earlier write failed
   * @throws IllegalArgumentException if record {@code upTo} does not exist, or the state is larger
   *     than 32 MiB
   */
  public void writeSnapshot(long upTo, byte[] state) throws IOException {
    if (upTo < 1 || upTo > lastRecordNumber || state.length > MAX_SNAPSHOT_BYTES) {
      throw new IllegalArgumentException(
          "invalid snapshot: "
              + state.length
              + " bytes up to record "
              + upTo
              + "; last record is "
              + lastRecordNumber);
    }
    runUnlessFailed(
        () -> {
          syncActiveSegment();
          if (!enabled(Safeguard.SNAPSHOT_BEFORE_DELETE)) {
            deleteCoveredBy(upTo);
          }
          snapshots.write(upTo, state);
          deleteCoveredBy(upTo);
          return upTo;
        });
  }

  private void deleteCoveredBy(long snapshotUpTo) throws IOException {
    while (segments.size() > 1 && segments.get(1) <= snapshotUpTo + 1) {
      disk.delete(FileKind.SEGMENT.fileName(segments.remove(0)));
    }
    snapshots.deleteOlderThan(snapshotUpTo);
  }

  private void syncActiveSegment() throws IOException {
    activeSegment.fsync();
    syncedUpTo = lastRecordNumber;
  }

  private void startSegment(long firstNumber) throws IOException {
    activeSegment = SegmentWriter.create(disk, firstNumber, enabled(Safeguard.FSYNC_NEW_SEGMENT));
    segments.remove(
        firstNumber); // removes by value: an empty segment with the same first record is replaced
    segments.add(firstNumber);
  }

  /** A disk write that returns a record number. */
  private interface WriteOperation {
    long run() throws IOException;
  }

  /**
   * Runs a write operation. If it throws, the journal stays failed and rejects all later
   * operations.
   */
  private long runUnlessFailed(WriteOperation operation) throws IOException {
    if (failed) {
      throw new JournalFailedException();
    }
    failed = true;
    long number = operation.run();
    failed = false;
    return number;
  }

  /** Closes the active segment and releases the directory lock, without an fsync. */
  @Override
  public void close() throws IOException {
    try (Closeable directoryLock = lock;
        Closeable segment = activeSegment) {
      failed = true;
    }
  }

  @Override
  public String toString() {
    return "journal up to "
        + lastRecordNumber
        + " in "
        + segments.size()
        + " segments, recovered "
        + recoveryReport;
  }
}
