package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Writes to a journal from a thread of its own, so that whoever offers a record never waits for a
 * disk, be it slow, full or failing. What comes within a delay is forced together. A queue that is
 * full, by records or by bytes, takes nothing more; after an error of the disk nothing is taken
 * until the next start, and that is said once.
 */
public final class Committer implements Closeable {
  /** Called on the committer's thread. */
  public interface Listener {
    /**
     * All that was taken up to this one of the accepted, counted from 1, is there after a loss of
     * power.
     */
    void committed(long accepted);

    /** Nothing more is written; what was accepted and not committed may or may not be there. */
    void failed(IOException cause);
  }

  /**
   * @param delayMs what comes within it is forced together; 0: each round of the thread by itself
   * @param mostRecords that wait
   * @param mostBytes that wait
   */
  public record Terms(long delayMs, int mostRecords, long mostBytes) {
    public Terms {
      if (delayMs < 0 || mostRecords < 1 || mostBytes < 1) {
        throw new IllegalArgumentException(
            "delay " + delayMs + " ms, " + mostRecords + " records, " + mostBytes + " bytes");
      }
    }
  }

  /** A disk that has not taken what was accepted by then is left alone at the end. */
  private static final long CLOSE_MS = 5000;

  private final Journal journal;
  private final Terms terms;
  private final Listener listener;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition some = lock.newCondition();
  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private final Thread thread;
  private long queuedBytes;
  private long refused;
  private boolean failed;
  private boolean closing;

  /** Owns the journal from now on. */
  public Committer(Journal journal, Terms terms, Listener listener) {
    this.journal = journal;
    this.terms = terms;
    this.listener = listener;
    thread = new Thread(this::run, "committer");
    thread.setDaemon(true);
    thread.start();
  }

  /** Takes a record, never waiting. False: the queue is full, or the disk has failed. */
  public boolean offer(byte[] record) {
    lock.lock();
    try {
      if (failed
          || closing
          || queue.size() >= terms.mostRecords()
          || queuedBytes + record.length > terms.mostBytes()) {
        refused++;
        return false;
      }
      queue.add(record);
      queuedBytes += record.length;
      some.signal();
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Records that were not taken, since the start. */
  public long refused() {
    lock.lock();
    try {
      return refused;
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    long written = 0;
    try {
      while (true) {
        if (!waited()) {
          break;
        }
        Thread.sleep(terms.delayMs());
        int bytes = 0;
        long before = written;
        for (byte[] record = next(); record != null; record = next()) {
          journal.append(record);
          written++;
          bytes += record.length;
          if (bytes > terms.mostBytes()) { // those who wait are not kept by those who come
            break;
          }
        }
        if (written > before) {
          journal.force();
          listener.committed(written);
        }
      }
      journal.close();
    } catch (IOException e) {
      fail(e);
    } catch (RuntimeException e) {
      fail(new IOException(e));
    } catch (InterruptedException e) {
      fail(new IOException("the committer was interrupted"));
    }
  }

  private boolean waited() throws InterruptedException {
    lock.lock();
    try {
      while (queue.isEmpty() && !closing) {
        some.await();
      }
      return !queue.isEmpty();
    } finally {
      lock.unlock();
    }
  }

  private byte[] next() {
    lock.lock();
    try {
      byte[] record = queue.poll();
      queuedBytes -= record == null ? 0 : record.length;
      return record;
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
    listener.failed(cause);
  }

  /**
   * Writes what was accepted, and lets go of the journal; what a disk does not take within {@link
   * #CLOSE_MS} is given up.
   */
  @Override
  public void close() {
    lock.lock();
    try {
      closing = true;
      some.signal();
    } finally {
      lock.unlock();
    }
    try {
      thread.join(CLOSE_MS);
      thread.interrupt();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
