package cacheproxy.storage;

/**
 * A fault in the stored files that a power loss alone cannot cause, found by recovery. Recovery
 * keeps the affected file under another name. After damage to a segment, later records are not
 * replayed.
 */
public sealed interface Damage {
  /** Returns a one-line description for operators. */
  String describe();

  /**
   * Records are missing between two segments, or before the first segment.
   *
   * @param firstNumber the first missing record
   * @param lastNumber the last missing record
   */
  record MissingRecords(long firstNumber, long lastNumber) implements Damage {
    @Override
    public String describe() {
      return "records " + firstNumber + " to " + lastNumber + " are missing";
    }
  }

  /**
   * A snapshot has an invalid header, length or checksum. Recovery uses an older snapshot if one
   * exists.
   *
   * @param upTo the record number in the snapshot's file name
   * @param keptAs the file name of the quarantined snapshot
   */
  record CorruptSnapshot(long upTo, String keptAs) implements Damage {
    @Override
    public String describe() {
      return "snapshot up to record " + upTo + " is corrupt; file kept as " + keptAs;
    }
  }

  /**
   * A segment has an invalid header that is not the result of a torn write: records follow the
   * header, or a newer segment exists.
   *
   * @param segment the original file name of the segment
   * @param keptAs the file name of the quarantined segment
   */
  record CorruptHeader(String segment, String keptAs) implements Damage {
    @Override
    public String describe() {
      return segment + " has a corrupt header; file kept as " + keptAs;
    }
  }

  /**
   * A record that had been synced is corrupt. Recovery truncates the segment before this record.
   *
   * @param segment the file name of the segment
   * @param offsetBytes the offset of the record in the file
   * @param number the number of the record
   * @param keptAs the file name of the quarantined copy of the complete segment
   */
  record CorruptRecord(String segment, long offsetBytes, long number, String keptAs)
      implements Damage {
    @Override
    public String describe() {
      return segment
          + " is corrupt at byte "
          + offsetBytes
          + ", record "
          + number
          + "; copy kept as "
          + keptAs;
    }
  }

  /**
   * A segment comes after damaged or missing records, and is therefore not replayed.
   *
   * @param firstNumber the number of the segment's first record
   * @param keptAs the file name of the quarantined segment
   */
  record SegmentAfterDamage(long firstNumber, String keptAs) implements Damage {
    @Override
    public String describe() {
      return "segment starting at record "
          + firstNumber
          + " follows damaged or missing records and was not replayed; file kept as "
          + keptAs;
    }
  }
}
