package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A directory in the operating system's file system. The lock is an operating system lock on a file
 * in the directory.
 */
public final class FileSystemDisk implements Disk {
  private static final String LOCK_FILE = "lock";

  private final Path directory;

  /** Creates a disk for this directory, and the directory itself if it does not exist. */
  public FileSystemDisk(Path directory) throws IOException {
    this.directory = Files.createDirectories(directory);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> paths = Files.list(directory)) {
      return paths
          .filter(Files::isRegularFile)
          .map(path -> path.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .toList();
    }
  }

  @Override
  public File open(String name) throws IOException {
    return new ChannelFile(
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        directory.resolve(from),
        directory.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public void fsyncDirectory() throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public Closeable lock() throws IOException {
    FileChannel channel =
        FileChannel.open(
            directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      // another journal in this process holds the lock
    } finally {
      if (lock == null) {
        channel.close();
      }
    }
    if (lock == null) {
      throw new DirectoryLockedException(directory.toString());
    }
    return channel;
  }

  /** An open file, which closes its channel when it is closed. */
  private static final class ChannelFile implements File {
    private final FileChannel channel;

    ChannelFile(FileChannel channel) {
      this.channel = channel;
    }

    @Override
    public long size() throws IOException {
      return channel.size();
    }

    @Override
    public void read(long offset, ByteBuffer into) throws IOException {
      long position = offset;
      while (into.hasRemaining()) {
        int readBytes = channel.read(into, position);
        if (readBytes < 0) {
          return;
        }
        position += readBytes;
      }
    }

    @Override
    public void write(long offset, ByteBuffer from) throws IOException {
      long position = offset;
      while (from.hasRemaining()) {
        position += channel.write(from, position);
      }
    }

    @Override
    public void truncate(long sizeBytes) throws IOException {
      channel.truncate(sizeBytes);
    }

    @Override
    public void fsync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
