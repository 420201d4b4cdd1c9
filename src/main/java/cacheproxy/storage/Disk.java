package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder of files, with as little as a journal needs. What is written is there after a loss of
 * power only once it was forced: a file's content by {@link File#force}, its name by {@link
 * #forceFolder}. Not for several threads.
 */
public interface Disk {
  /** The names of all files, in no order. */
  List<String> list() throws IOException;

  /** Opens a file for reading and writing; one that is not there is made, empty. */
  File open(String name) throws IOException;

  /** Gives a file another name; one that has it already is replaced. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** From now on the names are as they are, also after a loss of power. */
  void forceFolder() throws IOException;

  /**
   * Holds the folder for its only owner until it is closed. An IOException says that another has
   * it.
   */
  Closeable lock() throws IOException;

  /** An open file. */
  interface File extends Closeable {
    long size() throws IOException;

    /** Reads all that fits, or up to the file's end. */
    void read(long at, ByteBuffer into) throws IOException;

    /** Writes all of it. */
    void write(long at, ByteBuffer from) throws IOException;

    void truncate(long size) throws IOException;

    /**
     * From now on the content is as it is, also after a loss of power. After an error nothing is
     * known of it.
     */
    void force() throws IOException;
  }
}
