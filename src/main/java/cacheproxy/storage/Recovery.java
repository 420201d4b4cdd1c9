package cacheproxy.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Replays a journal's files once: the newest intact snapshot, then all records behind it. Cuts off
 * a torn write, and moves aside what is damaged and what follows damage. Can be interrupted at any
 * point and run again.
 */
final class Recovery {
  /**
   * What the journal goes on from.
   *
   * @param report for the caller
   * @param segments the first record numbers of the segments in use, ascending
   * @param needsNewSegment whether the next record must not go to the last one of these
   */
  record Result(RecoveryReport report, List<Long> segments, boolean needsNewSegment) {}

  private final Disk disk;
  private final SnapshotStore snapshots;
  private final SegmentReader segmentReader;
  private final Quarantine quarantine;
  private final ReplayHandler handler;
  private final List<Long> segments = new ArrayList<>();
  private final List<Damage> damage = new ArrayList<>();
  private long lastRecordNumber;
  private long tornBytes;

  /** Set with the first damage to a segment: nothing behind it is replayed. */
  private boolean replayStopped;

  Recovery(
      Disk disk,
      SnapshotStore snapshots,
      SegmentReader segmentReader,
      Quarantine quarantine,
      ReplayHandler handler) {
    this.disk = disk;
    this.snapshots = snapshots;
    this.segmentReader = segmentReader;
    this.quarantine = quarantine;
    this.handler = handler;
  }

  Result run() throws IOException {
    List<String> fileNames = disk.list();
    snapshots.deleteUnfinished(fileNames);
    long snapshotUpTo = replaySnapshot(FileKind.SNAPSHOT.numbersIn(fileNames));
    lastRecordNumber = snapshotUpTo;
    replaySegments(FileKind.SEGMENT.numbersIn(fileNames), snapshotUpTo);
    if (!damage.isEmpty()) {
      disk.fsyncDirectory();
    }
    RecoveryReport report =
        new RecoveryReport(snapshotUpTo, lastRecordNumber - snapshotUpTo, tornBytes, damage);
    return new Result(report, segments, segments.isEmpty() || replayStopped);
  }

  /** Replays the newest intact snapshot; the last record that it stands for, 0 without one. */
  private long replaySnapshot(List<Long> ascending) throws IOException {
    List<Long> newestFirst = new ArrayList<>(ascending);
    Collections.reverse(newestFirst);
    for (long upTo : newestFirst) {
      Optional<byte[]> state = snapshots.read(upTo);
      if (state.isPresent()) {
        handler.onSnapshot(upTo, state.get());
        return upTo;
      }
      String keptAs = quarantine.moveToQuarantine(FileKind.SNAPSHOT.fileName(upTo));
      damage.add(new Damage.CorruptSnapshot(upTo, keptAs));
    }
    return 0;
  }

  private void replaySegments(List<Long> firstNumbers, long snapshotUpTo) throws IOException {
    for (int i = 0; i < firstNumbers.size(); i++) {
      long firstNumber = firstNumbers.get(i);
      boolean isNewest = i == firstNumbers.size() - 1;
      if (!replayStopped && !isNewest && firstNumbers.get(i + 1) <= snapshotUpTo + 1) {
        segments.add(firstNumber); // the snapshot stands for all of it
        continue;
      }
      if (!replayStopped && firstNumber > lastRecordNumber + 1) {
        replayStopped = true;
        damage.add(new Damage.MissingRecords(lastRecordNumber + 1, firstNumber - 1));
      }
      if (replayStopped) {
        String keptAs = quarantine.moveToQuarantine(FileKind.SEGMENT.fileName(firstNumber));
        damage.add(new Damage.SegmentAfterDamage(firstNumber, keptAs));
      } else {
        replaySegment(firstNumber, isNewest);
      }
    }
  }

  private void replaySegment(long firstNumber, boolean isNewest) throws IOException {
    SegmentReader.Outcome outcome = segmentReader.read(firstNumber, isNewest, this::replayRecord);
    boolean inUse = true;
    if (outcome instanceof SegmentReader.Outcome.TornWrite torn) {
      tornBytes += torn.tornBytes();
    } else if (outcome instanceof SegmentReader.Outcome.Damaged damaged) {
      replayStopped = true;
      damage.add(damaged.damage());
      inUse = damaged.inUse();
    }
    if (inUse) {
      segments.add(firstNumber);
    }
  }

  /** Skips what the snapshot stands for. */
  private void replayRecord(long number, byte[] payload) {
    if (number == lastRecordNumber + 1) {
      handler.onRecord(number, payload);
      lastRecordNumber = number;
    }
  }
}
