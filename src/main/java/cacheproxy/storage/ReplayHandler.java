package cacheproxy.storage;

/** Receives the content of a journal while it is being opened, on the thread that opens it. */
public interface ReplayHandler {
  /**
   * Receives the state after all records up to {@code upTo}. Called at most once, before any
   * record.
   */
  void onSnapshot(long upTo, byte[] state);

  /**
   * Receives the next record. Numbers are consecutive, starting after the last record that the
   * snapshot includes, or at 1 if there is no snapshot.
   */
  void onRecord(long number, byte[] payload);
}
