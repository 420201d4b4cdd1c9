package cacheproxy.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

/**
 * Reads, writes and deletes snapshots: a {@link FileHeader}, the state, CRC32C over both. A
 * snapshot is written and synced under a temporary name first, so that one with its own name is
 * complete.
 */
final class SnapshotStore {
  private static final String UNFINISHED_FILE_NAME = "unfinished";

  private final Disk disk;
  private final boolean verifiesChecksums;
  private final boolean syncsBeforeRename;

  SnapshotStore(Disk disk, boolean verifiesChecksums, boolean syncsBeforeRename) {
    this.disk = disk;
    this.verifiesChecksums = verifiesChecksums;
    this.syncsBeforeRename = syncsBeforeRename;
  }

  /** Deletes what an interrupted {@link #write} left. */
  void deleteUnfinished(List<String> fileNames) throws IOException {
    if (fileNames.contains(UNFINISHED_FILE_NAME)) {
      disk.delete(UNFINISHED_FILE_NAME);
    }
  }

  /** The state of the snapshot up to this record; empty: it is corrupt. */
  Optional<byte[]> read(long upTo) throws IOException {
    try (Disk.File file = disk.open(FileKind.SNAPSHOT.fileName(upTo))) {
      ByteBuffer content = StoredFile.readFully(file);
      int stateBytes = content.limit() - FileHeader.BYTES - Checksum.BYTES;
      Optional<FileHeader> header = FileHeader.decode(FileKind.SNAPSHOT, content);
      if (header.isEmpty()
          || header.get().number() != upTo
          || stateBytes < 0
          || header.get().payloadBytes() != stateBytes
          || (verifiesChecksums && !checksumMatches(content))) {
        return Optional.empty();
      }
      byte[] state = new byte[stateBytes];
      content.get(FileHeader.BYTES, state);
      return Optional.of(state);
    }
  }

  private static boolean checksumMatches(ByteBuffer content) {
    int checksumOffset = content.limit() - Checksum.BYTES;
    return content.getInt(checksumOffset) == Checksum.of(content, 0, checksumOffset);
  }

  /** Writes a snapshot; it survives a power loss once this method returns. */
  void write(long upTo, byte[] state) throws IOException {
    try (Disk.File file = disk.open(UNFINISHED_FILE_NAME)) {
      file.truncate(0);
      file.write(0, encode(upTo, state));
      if (syncsBeforeRename) {
        file.fsync();
      }
    }
    disk.rename(UNFINISHED_FILE_NAME, FileKind.SNAPSHOT.fileName(upTo));
    disk.fsyncDirectory();
  }

  private static ByteBuffer encode(long upTo, byte[] state) {
    ByteBuffer content = ByteBuffer.allocate(FileHeader.BYTES + state.length + Checksum.BYTES);
    content.put(FileHeader.encode(FileKind.SNAPSHOT, upTo, state.length));
    content.put(state);
    content.putInt(Checksum.of(content, 0, content.position()));
    return content.flip();
  }

  void deleteOlderThan(long upTo) throws IOException {
    for (long number : FileKind.SNAPSHOT.numbersIn(disk.list())) {
      if (number < upTo) {
        disk.delete(FileKind.SNAPSHOT.fileName(number));
      }
    }
  }
}
