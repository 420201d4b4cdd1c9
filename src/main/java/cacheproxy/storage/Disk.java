package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One directory of files, with as little as a journal needs. What is written survives a power loss
 * only once it was synced: a file's content by {@link File#fsync}, its name by {@link
 * #fsyncDirectory}. Not thread-safe. Each method blocks, and throws an IOException if the disk
 * fails.
 */
public interface Disk {
  /** The names of all files, in no particular order. */
  List<String> list() throws IOException;

  /** Opens a file for reading and writing; a missing one is created, empty. */
  File open(String name) throws IOException;

  /** Renames a file atomically; one that has the new name already is replaced. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** Returns once the names of all files survive a power loss. */
  void fsyncDirectory() throws IOException;

  /**
   * Locks the directory until the returned handle is closed.
   *
   * @throws DirectoryLockedException if it is locked already
   */
  Closeable lock() throws IOException;

  /** An open file. */
  interface File extends Closeable {
    /** The file's size in bytes. */
    long size() throws IOException;

    /** Reads from an offset until the buffer is full or the file ends. */
    void read(long offset, ByteBuffer into) throws IOException;

    /** Writes all that remains in the buffer at an offset. */
    void write(long offset, ByteBuffer from) throws IOException;

    /** Cuts the file to this size in bytes. */
    void truncate(long sizeBytes) throws IOException;

    /**
     * Returns once the content survives a power loss. After an error the state of what was written
     * since the last fsync is unknown.
     */
    void fsync() throws IOException;
  }
}
