package cacheproxy.storage;

/**
 * What recovery found that a power loss does not explain. The file in question is kept under
 * another name, and nothing behind the damage is replayed.
 */
public sealed interface Damage {
  /** One line for an operator. */
  String describe();

  /**
   * Records lack between two segments, or before the first one.
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
   * A snapshot has a wrong header, length or checksum; an older one is used if there is one.
   *
   * @param upTo the number in its file name
   * @param keptAs the name that the file has now
   */
  record CorruptSnapshot(long upTo, String keptAs) implements Damage {
    @Override
    public String describe() {
      return "the snapshot up to record " + upTo + " is corrupt; kept as " + keptAs;
    }
  }

  /**
   * A segment has a wrong header though records were synced after it.
   *
   * @param segment its file name
   * @param keptAs the name that the file has now
   */
  record CorruptHeader(String segment, String keptAs) implements Damage {
    @Override
    public String describe() {
      return segment + " has a corrupt header; kept as " + keptAs;
    }
  }

  /**
   * A record is corrupt that had been synced. The segment ends before it from now on.
   *
   * @param segment the file name
   * @param offsetBytes where in the file the record begins
   * @param number of the record
   * @param keptAs the name of a copy of the complete segment
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
          + "; a copy is kept as "
          + keptAs;
    }
  }

  /**
   * A segment follows damage and is not replayed, whatever it holds.
   *
   * @param firstNumber its first record
   * @param keptAs the name that the file has now
   */
  record SegmentAfterDamage(long firstNumber, String keptAs) implements Damage {
    @Override
    public String describe() {
      return "records from " + firstNumber + " on follow damage; kept as " + keptAs;
    }
  }
}
