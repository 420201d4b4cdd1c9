package cacheproxy.storage;

/** Receives a journal's content while it is opened, on the thread that opens it. */
public interface ReplayHandler {
  /** The state after all records up to this number. Called at most once, and first. */
  void onSnapshot(long upTo, byte[] state);

  /** The next record; numbers follow each other without a gap, from 1 or the snapshot's on. */
  void onRecord(long number, byte[] payload);
}
