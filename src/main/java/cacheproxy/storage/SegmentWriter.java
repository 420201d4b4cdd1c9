package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Appends records to one segment file. Owns the open file and closes it. */
final class SegmentWriter implements Closeable {
  private final Disk.File file;
  private long sizeBytes;

  private SegmentWriter(Disk.File file, long sizeBytes) {
    this.file = file;
    this.sizeBytes = sizeBytes;
  }

  /**
   * Creates an empty segment. An existing segment with the same name is overwritten.
   *
   * @param sync whether to sync the file and its directory entry; false only in tests
   */
  static SegmentWriter create(Disk disk, long firstNumber, boolean sync) throws IOException {
    SegmentWriter writer =
        new SegmentWriter(disk.open(FileKind.SEGMENT.fileName(firstNumber)), FileHeader.BYTES);
    try {
      writer.file.truncate(0);
      writer.file.write(0, FileHeader.encode(FileKind.SEGMENT, firstNumber, 0));
      if (sync) {
        writer.file.fsync();
        disk.fsyncDirectory();
      }
      return writer;
    } catch (IOException e) {
      writer.closeAfter(e);
      throw e;
    }
  }

  /** Opens an existing segment after recovery, to append records after its last one. */
  static SegmentWriter reopen(Disk disk, long firstNumber) throws IOException {
    Disk.File file = disk.open(FileKind.SEGMENT.fileName(firstNumber));
    return new SegmentWriter(file, file.size());
  }

  private void closeAfter(IOException cause) {
    try {
      file.close();
    } catch (IOException e) {
      cause.addSuppressed(e);
    }
  }

  long sizeBytes() {
    return sizeBytes;
  }

  /** Returns whether the segment lacks a complete header because its creation was interrupted. */
  boolean isUnfinished() {
    return sizeBytes < FileHeader.BYTES;
  }

  boolean hasRecords() {
    return sizeBytes > FileHeader.BYTES;
  }

  void append(ByteBuffer record) throws IOException {
    int recordBytes = record.remaining();
    file.write(sizeBytes, record);
    sizeBytes += recordBytes;
  }

  void fsync() throws IOException {
    file.fsync();
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
