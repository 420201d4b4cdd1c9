package cacheproxy.storage;

import java.util.List;

/**
 * What recovery found when a journal was opened.
 *
 * @param snapshotUpTo the last record that the replayed snapshot stands for; 0: there was none
 * @param replayedRecords records that were replayed after it
 * @param tornBytes cut off the newest segment, as a torn write that was never synced
 * @param damage in the order in which it was found; empty: none
 */
public record RecoveryReport(
    long snapshotUpTo, long replayedRecords, long tornBytes, List<Damage> damage) {
  /** Keeps a copy of the list. */
  public RecoveryReport {
    damage = List.copyOf(damage);
  }

  /** The last record that is in the journal; 0: none. */
  public long lastRecordNumber() {
    return snapshotUpTo + replayedRecords;
  }
}
