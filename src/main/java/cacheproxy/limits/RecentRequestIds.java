package cacheproxy.limits;

import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;

/**
 * The ids of requests that must not be executed again, for a limited time, in a hash table of fixed
 * size. The table may be a file that two processes of one proxy map into memory: each sees the ids
 * of the other. It holds a hash of each id. When all entries that an id may use are taken, the one
 * that expires first is overwritten. Within a process it is used only on the event loop thread.
 *
 * <p>Format: {@value #ENTRIES} entries of two big-endian 64-bit integers, the hash and the Unix
 * time in milliseconds until which the id is kept. The process that adds an id first clears that
 * time, so that the other one never sees it with another id's hash.
 */
public final class RecentRequestIds {
  /** The size of the table in bytes. */
  public static final int TABLE_BYTES = RecentRequestIds.ENTRIES * 2 * Long.BYTES;

  private static final int ENTRIES = 8192;
  private static final int ENTRIES_PER_ID = 8;
  private static final int BUCKETS = ENTRIES / ENTRIES_PER_ID;
  private static final int ENTRY_BYTES = 2 * Long.BYTES;
  private static final long HASH_START = 0xcbf29ce484222325L;
  private static final long HASH_FACTOR = 0x100000001b3L;

  private final ByteBuffer table;
  private final double retentionMs;

  /**
   * Creates a view of a table.
   *
   * @param table at least {@link #TABLE_BYTES} bytes, zeros if it is new
   * @param retentionMs how long an id is kept, in milliseconds, more than 0
   * @throws IllegalArgumentException if the table is too small or the time is not positive
   */
  public RecentRequestIds(ByteBuffer table, double retentionMs) {
    if (table.capacity() < TABLE_BYTES || !(retentionMs > 0)) {
      throw new IllegalArgumentException(
          table.capacity() + " bytes, " + retentionMs + " ms: too small a table or time");
    }
    this.table = table;
    this.retentionMs = retentionMs;
  }

  /** Adds an id, or keeps it from now on for the complete time if it is present. */
  public void add(double nowMs, String id) {
    long hash = hash(id);
    int at = find(hash);
    if (at < 0) {
      at = firstToExpire(hash);
    }
    setExpiry(at, 0);
    table.putLong(at, hash);
    setExpiry(at, (long) (nowMs + retentionMs));
  }

  /** Removes an id whose request was not executed. */
  public void remove(String id) {
    int at = find(hash(id));
    if (at >= 0) {
      setExpiry(at, 0);
    }
  }

  /** Returns whether the id was added within the retention time, by this or the other process. */
  public boolean contains(double nowMs, String id) {
    int at = find(hash(id));
    return at >= 0 && expiry(at) > nowMs;
  }

  /** The position of the entry with this hash, expired or not; -1 if there is none. */
  private int find(long hash) {
    int bucket = bucket(hash);
    for (int at = bucket; at < bucket + ENTRIES_PER_ID * ENTRY_BYTES; at += ENTRY_BYTES) {
      if (table.getLong(at) == hash) {
        return at;
      }
    }
    return -1;
  }

  private int firstToExpire(long hash) {
    int bucket = bucket(hash);
    int first = bucket;
    for (int at = bucket; at < bucket + ENTRIES_PER_ID * ENTRY_BYTES; at += ENTRY_BYTES) {
      if (expiry(at) < expiry(first)) {
        first = at;
      }
    }
    return first;
  }

  private static int bucket(long hash) {
    return (int) Long.remainderUnsigned(hash, BUCKETS) * ENTRIES_PER_ID * ENTRY_BYTES;
  }

  private long expiry(int at) {
    long expiry = table.getLong(at + Long.BYTES);
    VarHandle.acquireFence();
    return expiry;
  }

  private void setExpiry(int at, long expiryMs) {
    VarHandle.releaseFence();
    table.putLong(at + Long.BYTES, expiryMs);
    VarHandle.releaseFence();
  }

  /** FNV-1a with its bits mixed; never 0, which marks an entry that was never used. */
  private static long hash(String id) {
    long hash = HASH_START;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * HASH_FACTOR;
    }
    hash ^= hash >>> 32;
    return hash == 0 ? 1 : hash;
  }
}
