package cacheproxy.proxy;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Set;

/**
 * The folder that an old and a new process of one proxy share: the log of nodes out by hand, and a
 * file with a slot for each of the two, locked while its process lives, which the system sees to.
 * Small files in memory; still used on the control's thread alone and never on the proxy's event
 * loop. Without a folder all is kept by this process only.
 */
final class SharedFolder {
  /**
   * File names of earlier versions, kept: during an upgrade a process of the version before shares
   * the folder, and what it stored has to stay readable.
   */
  private static final String LOG = "damsonworks.hand";

  private static final String SLOTS = "damsonworks.slots";

  /** A slot can be held for a moment by one who only looks whether it is. */
  private static final int TRIES = 10;

  /**
   * Behind the bytes that are locked, for each slot: clients, servers, 1 if it serves; big-endian.
   */
  private static final int HOLDS_AT = 8;

  private static final int HOLDS_BYTES = 3 * Integer.BYTES;

  private final Path log;
  private FileChannel slots;
  private FileLock mine;
  private int slot;
  private byte[] kept = {};
  private Object seen;

  /**
   * @param folder null: there is none
   */
  SharedFolder(Path folder) throws IOException {
    log = folder == null ? null : folder.resolve(LOG);
    if (folder == null) {
      return;
    }
    slots =
        FileChannel.open(
            folder.resolve(SLOTS),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    for (int i = 0; mine == null && i < 2 * TRIES; i++) {
      slot = i % 2;
      mine = lock(slot);
      if (mine == null && i % 2 == 1) {
        try {
          Thread.sleep(1);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (mine == null) {
      slots.close();
      throw new IOException("two processes of this proxy already run");
    }
  }

  private FileLock lock(int which) throws IOException {
    try {
      return slots.tryLock(which, 1, false);
    } catch (OverlappingFileLockException e) { // held within this JVM
      return null;
    }
  }

  /** Whether the other process runs. */
  boolean beside() throws IOException {
    if (slots == null) {
      return false;
    }
    FileLock other = lock(1 - slot);
    if (other != null) {
      other.release();
    }
    return other == null;
  }

  /**
   * Tells the other process what this one holds and has what that one does; nothing where it does
   * not run.
   */
  ProcessStatus exchange(ProcessStatus holds) throws IOException {
    if (slots == null) {
      return ProcessStatus.ABSENT;
    }
    slots.write(
        ByteBuffer.allocate(HOLDS_BYTES)
            .putInt(holds.clientConnections())
            .putInt(holds.serverConnections())
            .putInt(holds.serving() ? 1 : 0)
            .flip(),
        HOLDS_AT + slot * HOLDS_BYTES);
    ByteBuffer other = ByteBuffer.allocate(HOLDS_BYTES);
    if (!beside()) {
      return ProcessStatus.ABSENT;
    }
    slots.read(other, HOLDS_AT + (1 - slot) * HOLDS_BYTES);
    // One that has just begun may not have written yet.
    return other.hasRemaining()
        ? ProcessStatus.STARTING
        : new ProcessStatus(
            Math.max(1, other.getInt(0)),
            Math.max(0, other.getInt(Integer.BYTES)),
            other.getInt(2 * Integer.BYTES) == 1);
  }

  /** The nodes that are out now; null where nothing has changed since it was last asked. */
  Set<String> news() throws IOException {
    if (log == null) {
      return null;
    }
    Object now;
    try {
      BasicFileAttributes file = Files.readAttributes(log, BasicFileAttributes.class);
      now = file.size() + " " + file.lastModifiedTime() + " " + file.fileKey();
    } catch (NoSuchFileException e) {
      return null;
    }
    return now.equals(seen) ? null : read(now);
  }

  private Set<String> read(Object now) throws IOException {
    Set<String> out = ManualEjectionLog.ejectedNodes(log == null ? kept : Files.readAllBytes(log));
    seen = now;
    return out;
  }

  /** Adds a call; the nodes that are out with it. What is returned stands in the log. */
  Set<String> add(String node, boolean out) throws IOException {
    byte[] record =
        ManualEjectionLog.encode(
            node, out ? ManualEjectionLog.Action.EJECT : ManualEjectionLog.Action.REINSTATE);
    if (log == null) {
      Set<String> all = ManualEjectionLog.ejectedNodes(kept);
      if (out) {
        all.add(node);
      } else {
        all.remove(node);
      }
      kept = ManualEjectionLog.compact(all);
      return all;
    }
    if (Files.exists(log)
        && Files.size(log) > ManualEjectionLog.COMPACTION_THRESHOLD_BYTES
        && !beside()) {
      Path next = log.resolveSibling(LOG + ".next");
      Files.write(
          next, ManualEjectionLog.compact(ManualEjectionLog.ejectedNodes(Files.readAllBytes(log))));
      try {
        Files.move(next, log, StandardCopyOption.ATOMIC_MOVE);
      } catch (AtomicMoveNotSupportedException e) {
        Files.delete(next); // the long log is as good
      }
    }
    try (FileChannel file =
        FileChannel.open(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      ByteBuffer bytes = ByteBuffer.wrap(record);
      while (bytes.hasRemaining()) {
        file.write(bytes);
      }
    }
    return read(null);
  }

  void close() throws IOException {
    if (slots != null) {
      slots.close(); // with its lock
    }
  }
}
