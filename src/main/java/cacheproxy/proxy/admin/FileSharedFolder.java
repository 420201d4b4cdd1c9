package cacheproxy.proxy.admin;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import cacheproxy.limits.RecentRequestIds;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Optional;
import java.util.Set;

/**
 * A shared folder that consists of small files in a directory: the log of manual ejections, the
 * status of both processes, and the ids of recent requests.
 */
final class FileSharedFolder implements SharedFolder {
  /**
   * The file names must not change: during an upgrade a process of the previous version uses the
   * same folder, and its stored records have to stay readable.
   */
  private static final String EJECTION_LOG_NAME = "damsonworks.hand";

  private static final String SLOTS_NAME = "damsonworks.slots";

  private static final String REQUEST_IDS_NAME = "cacheproxy.requests";

  private static final String COMPACTED_SUFFIX = ".next";

  /** File attributes that show whether a file has been written to or replaced. */
  private record FileVersion(long sizeBytes, FileTime modified, Optional<Object> fileKey) {
    static FileVersion of(Path path) throws IOException {
      BasicFileAttributes file = Files.readAttributes(path, BasicFileAttributes.class);
      return new FileVersion(
          file.size(), file.lastModifiedTime(), Optional.ofNullable(file.fileKey()));
    }
  }

  private final Path ejectionLog;
  private final ProcessSlots slots;
  private final ByteBuffer requestIds;

  /**
   * The file version that {@link #changedEjections} has read last; empty to force the next call to
   * read the log.
   */
  private Optional<FileVersion> lastReadVersion = Optional.empty();

  FileSharedFolder(Path directory) throws IOException {
    ejectionLog = directory.resolve(EJECTION_LOG_NAME);
    slots = new ProcessSlots(directory.resolve(SLOTS_NAME));
    requestIds = mapRequestIds(directory.resolve(REQUEST_IDS_NAME));
  }

  /**
   * Maps the table into memory. A file that is too short is filled with zeros first: memory without
   * space on the disk behind it could not be written later.
   */
  private static ByteBuffer mapRequestIds(Path path) throws IOException {
    try (FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      long missing = RecentRequestIds.TABLE_BYTES - file.size();
      if (missing > 0) {
        file.write(ByteBuffer.allocate((int) missing), file.size());
      }
      return file.map(FileChannel.MapMode.READ_WRITE, 0, RecentRequestIds.TABLE_BYTES);
    }
  }

  @Override
  public ByteBuffer requestIds() {
    return requestIds;
  }

  @Override
  public ProcessStatus exchange(ProcessStatus own) throws IOException {
    return slots.exchange(own);
  }

  @Override
  public Optional<Set<String>> changedEjections() throws IOException {
    Optional<FileVersion> version;
    try {
      version = Optional.of(FileVersion.of(ejectionLog));
    } catch (NoSuchFileException e) {
      return Optional.empty(); // no ejection has been recorded yet
    }
    if (version.equals(lastReadVersion)) {
      return Optional.empty();
    }
    Set<String> ejectedNodes = readEjectedNodes();
    lastReadVersion = version;
    return Optional.of(ejectedNodes);
  }

  @Override
  public Set<String> append(String node, ManualEjectionLog.Action action) throws IOException {
    if (Files.exists(ejectionLog)
        && Files.size(ejectionLog) > ManualEjectionLog.COMPACTION_THRESHOLD_BYTES
        && !slots.isOtherRunning()) {
      compactLog();
    }
    ByteBuffer record = ByteBuffer.wrap(ManualEjectionLog.encode(node, action));
    try (FileChannel file =
        FileChannel.open(ejectionLog, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      while (record.hasRemaining()) {
        file.write(record);
      }
    }
    Set<String> ejectedNodes = readEjectedNodes();
    lastReadVersion = Optional.empty();
    return ejectedNodes;
  }

  private Set<String> readEjectedNodes() throws IOException {
    return ManualEjectionLog.ejectedNodes(Files.readAllBytes(ejectionLog));
  }

  private void compactLog() throws IOException {
    Path compacted = ejectionLog.resolveSibling(EJECTION_LOG_NAME + COMPACTED_SUFFIX);
    Files.write(compacted, ManualEjectionLog.compact(readEjectedNodes()));
    try {
      Files.move(compacted, ejectionLog, StandardCopyOption.ATOMIC_MOVE);
    } catch (AtomicMoveNotSupportedException e) {
      Files.delete(compacted); // the long log is equivalent
    }
  }

  @Override
  public void close() throws IOException {
    slots.close();
  }
}
