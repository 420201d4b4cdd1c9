package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A disk in memory that holds back what was not forced, as a real one's caches do: at a loss of
 * power any part of it is there, in any order, torn at any byte. Can lose power at any operation,
 * stand still at a force, and err or be full from one on. A kill of a process is no loss of power,
 * as the system keeps what was written: only a disk like this shows the difference.
 */
public final class WriteBackDisk implements Disk {
  /** The power is gone: whatever runs on this disk is over. */
  public static final class PowerLost extends IOException {
    private static final long serialVersionUID = 1L;
  }

  private record Write(long at, byte[] bytes) {}

  private static final class Inode {
    byte[] forced = {};
    byte[] now = {};
    final List<Write> pending = new ArrayList<>();

    static byte[] with(byte[] content, Write w) {
      if (w.bytes == null) {
        return Arrays.copyOf(content, (int) w.at);
      }
      byte[] all = Arrays.copyOf(content, (int) Math.max(content.length, w.at + w.bytes.length));
      System.arraycopy(w.bytes, 0, all, (int) w.at, w.bytes.length);
      return all;
    }

    void apply(Write w) {
      now = with(now, w);
      pending.add(w);
    }
  }

  private final Map<String, Inode> forcedNames = new LinkedHashMap<>();
  private final Map<String, Inode> names = new LinkedHashMap<>();

  /** What the names were after each change since they were forced. */
  private final List<Map<String, Inode>> namesSince = new ArrayList<>();

  private long operations;
  private long powerAt = Long.MAX_VALUE;
  private long errorAt = Long.MAX_VALUE;
  private Runnable beforeForce = () -> {};
  private long forces;
  private boolean locked;
  private boolean dead;

  /** Power goes at this operation from now, counted from 1. */
  public WriteBackDisk powerAt(long operation) {
    powerAt = operations + operation;
    return this;
  }

  /** Each operation that writes or forces errs from this one on. */
  public WriteBackDisk errorAt(long operation) {
    errorAt = operations + operation;
    return this;
  }

  /** Each force of a file waits for this. */
  public WriteBackDisk beforeForce(Runnable waits) {
    beforeForce = waits;
    return this;
  }

  /** Forces of files so far. */
  public long forces() {
    return forces;
  }

  private void operation() throws IOException {
    if (dead || ++operations >= powerAt) {
      dead = true;
      throw new PowerLost();
    }
    if (operations >= errorAt) {
      throw new IOException("No space left on device");
    }
  }

  /** The disk as it is found when the power is back. */
  public WriteBackDisk after(SplittableRandom lots) {
    WriteBackDisk found = new WriteBackDisk();
    int kept =
        lots.nextInt(
            namesSince.size() + 1); // changes of names keep their order, as file systems log them
    Map<String, Inode> there = kept == 0 ? forcedNames : namesSince.get(kept - 1);
    there.forEach(
        (name, inode) -> {
          byte[] content = inode.forced;
          int style = lots.nextInt(3); // nothing, all but the last torn, any part of it
          for (int w = 0; w < inode.pending.size() && style > 0; w++) {
            Write write = inode.pending.get(w);
            boolean lastOne = w == inode.pending.size() - 1;
            if (style == 2 && lots.nextBoolean()) {
              continue;
            }
            if (write.bytes != null && (style == 2 || lastOne)) {
              int torn = lots.nextInt(write.bytes.length + 1);
              write = new Write(write.at, Arrays.copyOf(write.bytes, torn));
            }
            content = Inode.with(content, write);
          }
          Inode is = new Inode();
          is.forced = is.now = content;
          found.names.put(name, is);
          found.forcedNames.put(name, is);
        });
    return found;
  }

  /** Turns one bit over, as a bad place on the disk does. */
  void spoil(String name, int at) {
    Inode inode = names.get(name);
    inode.now = inode.now.clone();
    inode.now[at] ^= 4;
    inode.forced = inode.now;
  }

  byte[] content(String name) {
    return names.get(name).now;
  }

  void put(String name, byte[] content) {
    Inode inode = new Inode();
    inode.forced = inode.now = content;
    names.put(name, inode);
    forcedNames.put(name, inode);
  }

  @Override
  public List<String> list() {
    return List.copyOf(names.keySet());
  }

  private void renamed() {
    namesSince.add(new LinkedHashMap<>(names));
  }

  @Override
  public File open(String name) throws IOException {
    if (!names.containsKey(name)) {
      operation();
      names.put(name, new Inode());
      renamed();
    }
    Inode inode = names.get(name);
    return new File() {
      @Override
      public long size() {
        return inode.now.length;
      }

      @Override
      public void read(long at, ByteBuffer into) {
        into.put(inode.now, (int) at, (int) Math.min(into.remaining(), inode.now.length - at));
      }

      @Override
      public void write(long at, ByteBuffer from) throws IOException {
        operation();
        byte[] bytes = new byte[from.remaining()];
        from.get(bytes);
        inode.apply(new Write(at, bytes));
      }

      @Override
      public void truncate(long size) throws IOException {
        if (size != inode.now.length) {
          operation();
          inode.apply(new Write(size, null));
        }
      }

      @Override
      public void force() throws IOException {
        beforeForce.run();
        operation();
        forces++;
        inode.forced = inode.now;
        inode.pending.clear();
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public void rename(String from, String to) throws IOException {
    operation();
    names.put(to, names.remove(from));
    renamed();
  }

  @Override
  public void delete(String name) throws IOException {
    operation();
    names.remove(name);
    renamed();
  }

  @Override
  public void forceFolder() throws IOException {
    operation();
    forcedNames.clear();
    forcedNames.putAll(names);
    namesSince.clear();
  }

  @Override
  public Closeable lock() throws IOException {
    if (locked) {
      throw new IOException("the folder belongs to another");
    }
    locked = true;
    return () -> locked = false;
  }
}
