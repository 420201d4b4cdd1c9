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

/** A folder of the system's. */
public final class RealDisk implements Disk {
  private static final String LOCK = "lock";

  private final Path folder;

  /** Makes the folder if it is not there. */
  public RealDisk(Path folder) throws IOException {
    this.folder = Files.createDirectories(folder);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(Files::isRegularFile)
          .map(p -> p.getFileName().toString())
          .filter(n -> !n.equals(LOCK))
          .toList();
    }
  }

  @Override
  public File open(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    return new File() {
      @Override
      public long size() throws IOException {
        return channel.size();
      }

      @Override
      public void read(long at, ByteBuffer into) throws IOException {
        for (long from = at; into.hasRemaining(); ) {
          int n = channel.read(into, from);
          if (n < 0) {
            return;
          }
          from += n;
        }
      }

      @Override
      public void write(long at, ByteBuffer from) throws IOException {
        for (long to = at; from.hasRemaining(); ) {
          to += channel.write(from, to);
        }
      }

      @Override
      public void truncate(long size) throws IOException {
        channel.truncate(size);
      }

      @Override
      public void force() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(
        folder.resolve(from),
        folder.resolve(to),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void forceFolder() throws IOException {
    try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  @Override
  public Closeable lock() throws IOException {
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      // another in this process has it
    } finally {
      if (lock == null) {
        channel.close();
      }
    }
    if (lock == null) {
      throw new IOException(folder + " belongs to another process that runs");
    }
    return channel;
  }
}
