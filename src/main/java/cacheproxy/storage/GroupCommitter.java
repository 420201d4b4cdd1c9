package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Group commit: appends records to a journal on a thread of its own, with one fsync for all that
 * arrive within a delay, so that a caller never waits for a slow, full or failing disk. A queue
 * that is full, by records or by bytes, rejects further records; after an error of the disk all are
 * rejected until the next start, and the listener is told once.
 *
 * <p>Thread-safe. Owns the journal.
 */
public final class GroupCommitter implements Closeable {
  /** Called on the committer's thread. */
  public interface Listener {
    /** The first so many of the accepted records, counted from the start, survive a power loss. */
    void onCommitted(long records);

    /** Nothing more is written; accepted records that were not committed may be lost. */
    void onFailed(IOException cause);
  }

  /**
   * Delay and bounds.
   *
   * @param delayMs how long a record may wait for others to share its fsync; 0: not at all
   * @param maxQueuedRecords the most records that wait
   * @param maxQueuedBytes the most payload bytes that wait
   */
  public record Options(long delayMs, int maxQueuedRecords, long maxQueuedBytes) {
    /** Throws an IllegalArgumentException for a value out of bounds. */
    public Options {
      if (delayMs < 0 || maxQueuedRecords < 1 || maxQueuedBytes < 1) {
        throw new IllegalArgumentException(
            "delay "
                + delayMs
                + " ms, "
                + maxQueuedRecords
                + " records, "
                + maxQueuedBytes
                + " bytes");
      }
    }
  }

  /** How long {@link #close} waits for the disk. */
  private static final long CLOSE_TIMEOUT_MS = 5000;

  private final Journal journal;
  private final Options options;
  private final Listener listener;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition recordsOrClosing = lock.newCondition();
  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private final Thread thread;
  private long queuedBytes;
  private long rejectedRecordCount;
  private boolean failed;
  private boolean closing;

  /** Starts the thread, which owns the journal from now on and closes it. */
  public GroupCommitter(Journal journal, Options options, Listener listener) {
    this.journal = journal;
    this.options = options;
    this.listener = listener;
    thread = new Thread(this::run, "committer");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Queues a record, without waiting.
   *
   * @return false if it is rejected, as the queue is full, the disk has failed or this is closed
   */
  public boolean offer(byte[] payload) {
    lock.lock();
    try {
      if (failed
          || closing
          || queue.size() >= options.maxQueuedRecords()
          || queuedBytes + payload.length > options.maxQueuedBytes()) {
        rejectedRecordCount++;
        return false;
      }
      queue.add(payload);
      queuedBytes += payload.length;
      recordsOrClosing.signal();
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** How many records were rejected since the start. */
  public long rejectedRecordCount() {
    lock.lock();
    try {
      return rejectedRecordCount;
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    long committedRecords = 0;
    try {
      while (awaitRecords()) {
        Thread.sleep(options.delayMs());
        committedRecords += appendQueued();
        journal.fsync();
        listener.onCommitted(committedRecords);
      }
      journal.close();
    } catch (IOException e) {
      fail(e);
    } catch (RuntimeException e) {
      fail(new StorageException(e.toString(), e));
    } catch (InterruptedException e) {
      fail(new StorageException("the committer was interrupted", e));
    }
  }

  /** Waits for a record; false: there is none and this is closing. */
  private boolean awaitRecords() throws InterruptedException {
    lock.lock();
    try {
      while (queue.isEmpty() && !closing) {
        recordsOrClosing.await();
      }
      return !queue.isEmpty();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Appends what is queued, up to a bound, so that a steady stream of records does not put off the
   * fsync for those before it.
   */
  private int appendQueued() throws IOException {
    int records = 0;
    long bytes = 0;
    byte[] payload = dequeue();
    while (payload != null) {
      journal.append(payload);
      records++;
      bytes += payload.length;
      payload = bytes > options.maxQueuedBytes() ? null : dequeue();
    }
    return records;
  }

  /** The next record; null: none. */
  private byte[] dequeue() {
    lock.lock();
    try {
      byte[] payload = queue.poll();
      if (payload != null) {
        queuedBytes -= payload.length;
      }
      return payload;
    } finally {
      lock.unlock();
    }
  }

  private void fail(IOException cause) {
    lock.lock();
    try {
      failed = true;
      queue.clear();
      queuedBytes = 0;
    } finally {
      lock.unlock();
    }
    try {
      journal.close();
    } catch (IOException e) {
      cause.addSuppressed(e);
    }
    listener.onFailed(cause);
  }

  /** Commits what was accepted and closes the journal; gives up after {@link #CLOSE_TIMEOUT_MS}. */
  @Override
  public void close() {
    lock.lock();
    try {
      closing = true;
      recordsOrClosing.signal();
    } finally {
      lock.unlock();
    }
    try {
      thread.join(CLOSE_TIMEOUT_MS);
      thread.interrupt();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
