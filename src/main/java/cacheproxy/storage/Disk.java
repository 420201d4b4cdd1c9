package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A directory of files, with the operations that a journal needs. Changes survive a power loss only
 * once they are synced: file content by {@link File#fsync}, and the creation, renaming and deletion
 * of files by {@link #fsyncDirectory}. Not thread-safe. All methods block, and throw an IOException
 * if the disk fails.
 */
public interface Disk {
  /** Returns the names of all files, in no particular order. */
  List<String> list() throws IOException;

  /** Opens a file for reading and writing. Creates an empty file if it does not exist. */
  File open(String name) throws IOException;

  /** Renames a file atomically, replacing any file that already has the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. Does nothing if the file does not exist. */
  void delete(String name) throws IOException;

  /** Blocks until all file creations, renames and deletions survive a power loss. */
  void fsyncDirectory() throws IOException;

  /**
   * Locks the directory until the returned handle is closed.
   *
   * @throws DirectoryLockedException if the directory is already locked
   */
  Closeable lock() throws IOException;

  /** An open file. */
  interface File extends Closeable {
    /** The file's size in bytes. */
    long size() throws IOException;

    /** Reads bytes starting at the offset until the buffer is full or the file ends. */
    void read(long offset, ByteBuffer into) throws IOException;

    /** Writes all remaining bytes of the buffer, starting at the offset. */
    void write(long offset, ByteBuffer from) throws IOException;

    /** Truncates the file to this size in bytes. */
    void truncate(long sizeBytes) throws IOException;

    /**
     * Blocks until the file content survives a power loss. After an error it is unknown which
     * writes since the last fsync are on disk.
     */
    void fsync() throws IOException;
  }
}
