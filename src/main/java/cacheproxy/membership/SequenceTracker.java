package cacheproxy.membership;

/**
 * Recognizes delayed and duplicate messages by the sequence numbers of each member's processes.
 * Tracks the last two processes of each member, because two run at the same time during a takeover.
 */
final class SequenceTracker {
  private static final int PROCESSES_PER_MEMBER = 2;

  /**
   * {@link #PROCESSES_PER_MEMBER} entries for each member, the latest process first. 0 marks a free
   * entry, as no process has this id.
   */
  private final int[] processIds;

  private final int[] sequenceNumbers;

  SequenceTracker(int tierSize) {
    processIds = new int[tierSize * PROCESSES_PER_MEMBER];
    sequenceNumbers = new int[tierSize * PROCESSES_PER_MEMBER];
  }

  /**
   * Records a message and returns whether it is newer than all messages received from the same
   * process. Returns false for the first message of an unknown process, which may be a delayed one
   * from an earlier process of the member.
   */
  boolean isNewer(int member, int processId, int sequenceNumber) {
    int latest = member * PROCESSES_PER_MEMBER;
    for (int slot = latest; slot < latest + PROCESSES_PER_MEMBER; slot++) {
      if (processIds[slot] == processId) {
        boolean newer = sequenceNumber - sequenceNumbers[slot] > 0;
        if (newer) {
          sequenceNumbers[slot] = sequenceNumber;
        }
        return newer;
      }
    }
    processIds[latest + 1] = processIds[latest];
    sequenceNumbers[latest + 1] = sequenceNumbers[latest];
    processIds[latest] = processId;
    sequenceNumbers[latest] = sequenceNumber;
    return false;
  }
}
