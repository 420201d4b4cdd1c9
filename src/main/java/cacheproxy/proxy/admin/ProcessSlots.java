package cacheproxy.proxy.admin;

import cacheproxy.admin.ProcessStatus;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file with one status slot for each of the two processes of a proxy that may run concurrently
 * during an upgrade. A process locks the byte of its slot as long as it runs; the operating system
 * releases the lock even if the process crashes. The status of each slot follows after the lock
 * bytes.
 *
 * <p>File format: bytes 0 and 1 are the lock bytes of slots 0 and 1. From byte 8, each slot has
 * three big-endian 32-bit integers: the number of client connections, the number of server
 * connections, and 1 if the process accepts clients' requests, else 0.
 */
final class ProcessSlots implements Closeable {
  private static final int SLOTS = 2;

  /**
   * Another process may lock a free slot briefly, only to test whether it is taken. Each slot is
   * therefore tried several times.
   */
  private static final int ATTEMPTS_PER_SLOT = 10;

  private static final long RETRY_DELAY_MS = 1;

  private static final int STATUS_OFFSET_BYTES = 8;
  private static final int STATUS_BYTES = 3 * Integer.BYTES;

  private final FileChannel file;

  /**
   * The lock of this process's slot. The field keeps a strong reference, as the JVM drops
   * unreferenced locks.
   */
  private final FileLock ownLock;

  private final int ownSlot;

  /**
   * Opens or creates the file and locks a free slot until {@link #close}.
   *
   * @throws IOException if both slots are taken or the file is unusable
   */
  ProcessSlots(Path path) throws IOException {
    file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    try {
      ownLock = lockFreeSlot();
    } catch (IOException e) {
      file.close();
      throw e;
    }
    ownSlot = (int) ownLock.position();
  }

  private FileLock lockFreeSlot() throws IOException {
    for (int attempt = 0; attempt < ATTEMPTS_PER_SLOT; attempt++) {
      for (int slot = 0; slot < SLOTS; slot++) {
        FileLock lock = tryLock(slot);
        if (lock != null) {
          return lock;
        }
      }
      pause();
    }
    throw new IOException("two processes of this proxy already run");
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_DELAY_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Locks the byte of a slot; returns null if another process or this JVM holds the lock. */
  private FileLock tryLock(int slot) throws IOException {
    try {
      return file.tryLock(slot, 1, false);
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  /** Returns whether another process of this proxy is running. */
  boolean isOtherRunning() throws IOException {
    FileLock otherLock = tryLock(otherSlot());
    if (otherLock == null) {
      return true;
    }
    otherLock.release();
    return false;
  }

  /**
   * Writes the status of this process and returns that of the other one, or {@link
   * ProcessStatus#ABSENT} if none is running.
   */
  ProcessStatus exchange(ProcessStatus own) throws IOException {
    write(own);
    return isOtherRunning() ? readOther() : ProcessStatus.ABSENT;
  }

  private void write(ProcessStatus status) throws IOException {
    ByteBuffer bytes =
        ByteBuffer.allocate(STATUS_BYTES)
            .putInt(status.clientConnections())
            .putInt(status.serverConnections())
            .putInt(status.serving() ? 1 : 0)
            .flip();
    file.write(bytes, statusOffset(ownSlot));
  }

  private ProcessStatus readOther() throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(STATUS_BYTES);
    file.read(bytes, statusOffset(otherSlot()));
    if (bytes.hasRemaining()) {
      return ProcessStatus.STARTING; // the other process has not written its status yet
    }
    bytes.flip();
    int clientConnections = Math.max(1, bytes.getInt());
    int serverConnections = Math.max(0, bytes.getInt());
    return new ProcessStatus(clientConnections, serverConnections, bytes.getInt() == 1);
  }

  private int otherSlot() {
    return 1 - ownSlot;
  }

  private static long statusOffset(int slot) {
    return STATUS_OFFSET_BYTES + (long) slot * STATUS_BYTES;
  }

  @Override
  public void close() throws IOException {
    ownLock.release();
    file.close();
  }
}
