package cacheproxy.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32C;

/**
 * Records in the order in which they were appended, numbered from 1, in segments; and snapshots
 * that stand for all up to a number, so that older segments can go. After a loss of power it holds
 * a beginning of what was appended, all that was forced at least.
 *
 * <ul>
 *   <li>A record is its length, its number, the number up to which all was forced when it was
 *       written, CRC32C over these and its bytes, and the bytes. At a loss of power what was not
 *       forced may be there in any part and order: from the first record on that fails its sum the
 *       last segment is cut.
 *   <li>A bad record that a good one behind it says was forced, a segment that lacks or a snapshot
 *       that fails its sum is damage: what comes before is believed, nothing after it, the files
 *       are kept aside under other names, and {@link #found} says so.
 *   <li>A segment's name is forced before anything in it is; a snapshot's content before its name,
 *       its name before anything that it stands for goes.
 *   <li>After an error of the disk nothing more is taken: what was appended since the last force
 *       may or may not be there.
 * </ul>
 *
 * <p>Not for several threads; blocks as the disk does, so never on an event loop ({@link
 * Committer}).
 */
public final class Journal implements Closeable {
  /**
   * @param segmentBytes a segment that is longer is followed by another
   * @param mostBytes of one record
   */
  public record Terms(long segmentBytes, int mostBytes) {
    public static final Terms USUAL = new Terms(4 << 20, 1 << 16);

    public Terms {
      if (segmentBytes < 64
          || segmentBytes > MOST_FILE / 2
          || mostBytes < 1
          || mostBytes > 1 << 24) {
        throw new IllegalArgumentException(
            "segments of " + segmentBytes + " bytes, records of " + mostBytes);
      }
    }
  }

  /** Is told what the files hold, in its order. */
  public interface Reader {
    /** All up to this number in one; at most once, and first. */
    void snapshot(long upTo, byte[] state);

    void record(long number, byte[] bytes);
  }

  /**
   * What an opening found.
   *
   * @param snapshot the number up to which a snapshot stood for all; 0: there was none
   * @param records read after it
   * @param cutBytes that the power had cut off in the middle of a write
   * @param damage in words, one for each; empty: none
   */
  public record Found(long snapshot, long records, long cutBytes, List<String> damage) {}

  /** Parts that can be left out to see what each is for; all are on in use. */
  enum Part {
    SUMS,
    FORCED_NAMES,
    FORCED_SNAPSHOT,
    SNAPSHOT_FIRST,
    LOOK_BEYOND
  }

  private static final int SEGMENT_MAGIC = 0x434C484A;
  private static final int SNAPSHOT_MAGIC = 0x434C4853;
  private static final int VERSION = 1;
  private static final int HEAD = 24;

  /** A file that is longer is none of these; each is read as a whole. */
  static final int MOST_FILE = 64 << 20;

  /** Length, number, forced up to, sum. */
  private static final int RECORD_HEAD = 24;

  private static final int SUM_AT = 20;
  private static final String SEGMENT = "journal-";
  private static final String SNAPSHOT = "snapshot-";
  private static final String UNFINISHED = "unfinished";
  private static final String ASIDE = "damaged-";

  /** Of a segment: cut at damage; kept aside as a whole. */
  private static final long DAMAGED = -1;

  private static final long GONE = -2;

  private final Disk disk;
  private final Terms terms;
  private final Set<Part> without;
  private final Closeable lock;

  /** First numbers of the segments that there are, in order; the last is written to. */
  private final List<Long> segments = new ArrayList<>();

  private final List<String> damage = new ArrayList<>();
  private Found found;
  private Disk.File file;
  private long size;
  private long last;
  private long forced;
  private boolean broken;

  private Journal(Disk disk, Terms terms, Set<Part> without) throws IOException {
    this.disk = disk;
    this.terms = terms;
    this.without = without;
    lock = disk.lock();
  }

  /**
   * Opens what is there, tells it, and is ready for more. An IOException: it is another's, or the
   * disk errs.
   */
  public static Journal open(Disk disk, Terms terms, Reader reader) throws IOException {
    return open(disk, terms, reader, EnumSet.noneOf(Part.class));
  }

  static Journal open(Disk disk, Terms terms, Reader reader, Set<Part> without) throws IOException {
    Journal journal = new Journal(disk, terms, without);
    try {
      journal.read(reader);
      return journal;
    } catch (IOException | RuntimeException e) {
      journal.close();
      throw e;
    }
  }

  private boolean on(Part part) {
    return !without.contains(part);
  }

  // ---- what is there

  private void read(Reader reader) throws IOException {
    List<String> names = new ArrayList<>(disk.list());
    if (names.remove(UNFINISHED)) {
      disk.delete(UNFINISHED);
    }
    long snapshot = 0;
    for (long upTo : numbers(names, SNAPSHOT, true)) {
      byte[] state = snapshot(upTo);
      if (state != null) {
        snapshot = upTo;
        reader.snapshot(upTo, state);
        break;
      }
      aside(name(SNAPSHOT, upTo), "snapshot up to " + upTo + " fails its sum");
    }
    last = snapshot;
    long cut = 0;
    boolean over = false;
    List<Long> all = numbers(names, SEGMENT, false);
    for (int i = 0; i < all.size(); i++) {
      long first = all.get(i);
      boolean newest = i == all.size() - 1;
      if (!newest && all.get(i + 1) <= snapshot + 1 && !over) {
        segments.add(first); // all in it is in the snapshot
        continue;
      }
      if (over || first > last + 1) {
        if (!over) {
          over = true;
          damage.add("records " + (last + 1) + " to " + (first - 1) + " lack");
        }
        aside(
            name(SEGMENT, first), "what comes after damage is not believed: records from " + first);
        continue;
      }
      long bytes = segment(first, newest, reader);
      over = bytes < 0;
      cut += Math.max(0, bytes);
      if (bytes != GONE) {
        segments.add(first);
      }
    }
    found = new Found(snapshot, last - snapshot, cut, List.copyOf(damage));
    if (!damage.isEmpty()) {
      disk.forceFolder();
    }
    if (segments.isEmpty() || over) {
      segment(last + 1);
    } else {
      file = disk.open(name(SEGMENT, segments.get(segments.size() - 1)));
      size = file.size();
      if (size < HEAD) { // its making was cut off
        file.close();
        segment(segments.remove(segments.size() - 1));
      } else {
        forceFile(); // what was told may have been in the system's cache alone, where a process was
        // killed
      }
    }
  }

  /**
   * Tells a segment's records. How many bytes were cut off its end; negative: there is damage in
   * it.
   */
  private long segment(long first, boolean newest, Reader reader) throws IOException {
    String name = name(SEGMENT, first);
    try (Disk.File f = disk.open(name)) {
      ByteBuffer all = whole(f);
      boolean headed =
          all.limit() >= HEAD && headHolds(all, SEGMENT_MAGIC) && all.getLong(8) == first;
      if (!headed) {
        if (newest && forcedBeyond(all, 0, first) < 0) {
          f.truncate(0);
          f.force();
          return all.limit();
        }
        if (all.limit() >= HEAD && headHolds(all, SEGMENT_MAGIC) && all.getShort(4) != VERSION) {
          throw new IOException(
              name
                  + " was written by version "
                  + all.getShort(4)
                  + " of this program's files, this is "
                  + VERSION);
        }
        aside(name, name + " has no head that holds");
        return GONE;
      }
      if (all.getShort(4) != VERSION) {
        throw new IOException(
            name
                + " was written by version "
                + all.getShort(4)
                + " of this program's files, this is "
                + VERSION);
      }
      int at = HEAD;
      long expected = first;
      while (at < all.limit()) {
        int length = holds(all, at);
        if (length < 0 || all.getLong(at + 4) != expected) {
          break;
        }
        if (expected == last + 1) {
          byte[] bytes = new byte[length];
          all.get(at + RECORD_HEAD, bytes);
          reader.record(expected, bytes);
          last = expected;
        }
        expected++;
        at += RECORD_HEAD + length;
      }
      if (at == all.limit()) {
        return 0;
      }
      boolean damaged =
          on(Part.LOOK_BEYOND) && (!newest || forcedBeyond(all, at, expected) >= expected);
      if (damaged) {
        String copy = ASIDE + name;
        try (Disk.File kept = disk.open(copy)) {
          kept.truncate(0);
          all.position(0);
          kept.write(0, all);
          kept.force();
        }
        damage.add(
            name
                + " is damaged at byte "
                + at
                + ", record "
                + expected
                + "; the whole of it is kept as "
                + copy);
      }
      f.truncate(at);
      f.force();
      return damaged ? DAMAGED : all.limit() - at;
    }
  }

  /**
   * Up to which number all was forced, by the records that hold anywhere after this byte; negative:
   * none does.
   */
  private long forcedBeyond(ByteBuffer all, int at, long expected) {
    long forced = -1;
    for (int from = at + 1; from + RECORD_HEAD < all.limit(); from++) {
      if (all.getLong(from + 4) >= expected
          && all.getLong(from + 4) < expected + all.limit()
          && holds(all, from) >= 0) {
        forced = Math.max(forced, all.getLong(from + 12));
      }
    }
    return forced;
  }

  /** The length of the record that begins here; negative: none that holds does. */
  private int holds(ByteBuffer all, int at) {
    if (at + RECORD_HEAD > all.limit()) {
      return -1;
    }
    int length = all.getInt(at);
    if (length < 1 || length > terms.mostBytes() || at + RECORD_HEAD + length > all.limit()) {
      return -1;
    }
    return !on(Part.SUMS)
            || sum(all, at, SUM_AT, at + RECORD_HEAD, length) == all.getInt(at + SUM_AT)
        ? length
        : -1;
  }

  private static int sum(ByteBuffer of, int head, int headBytes, int at, int bytes) {
    CRC32C crc = new CRC32C();
    crc.update(of.slice(head, headBytes));
    crc.update(of.slice(at, bytes));
    return (int) crc.getValue();
  }

  private byte[] snapshot(long upTo) throws IOException {
    try (Disk.File f = disk.open(name(SNAPSHOT, upTo))) {
      ByteBuffer all = whole(f);
      boolean holds =
          all.limit() >= HEAD + 4
              && headHolds(all, SNAPSHOT_MAGIC)
              && all.getLong(8) == upTo
              && all.getInt(16) == all.limit() - HEAD - 4
              && (!on(Part.SUMS)
                  || sum(all, 0, HEAD, HEAD, all.limit() - HEAD - 4)
                      == all.getInt(all.limit() - 4));
      if (!holds) {
        return null;
      }
      byte[] state = new byte[all.limit() - HEAD - 4];
      all.get(HEAD, state);
      return state;
    }
  }

  private static ByteBuffer whole(Disk.File f) throws IOException {
    if (f.size() > MOST_FILE) {
      throw new IOException(
          "a file of " + f.size() + " bytes, at most " + MOST_FILE + " are a journal's");
    }
    ByteBuffer all = ByteBuffer.allocate((int) f.size());
    f.read(0, all);
    all.flip();
    return all;
  }

  private static boolean headHolds(ByteBuffer all, int magic) {
    CRC32C crc = new CRC32C();
    crc.update(all.slice(0, HEAD - 4));
    return all.getInt(0) == magic && (int) crc.getValue() == all.getInt(HEAD - 4);
  }

  private static ByteBuffer head(int magic, long number, int length) {
    ByteBuffer head = ByteBuffer.allocate(HEAD);
    head.putInt(magic).putShort((short) VERSION).putShort((short) 0).putLong(number).putInt(length);
    CRC32C crc = new CRC32C();
    crc.update(head.slice(0, HEAD - 4));
    return head.putInt((int) crc.getValue()).flip();
  }

  private void aside(String name, String why) throws IOException {
    disk.rename(name, ASIDE + name);
    damage.add(why + "; kept as " + ASIDE + name);
  }

  private static String name(String kind, long number) {
    return kind + String.format("%016x", number);
  }

  private static List<Long> numbers(List<String> names, String kind, boolean newestFirst) {
    List<Long> numbers = new ArrayList<>();
    for (String n : names) {
      if (n.startsWith(kind) && n.length() == kind.length() + 16) {
        try {
          numbers.add(Long.parseUnsignedLong(n.substring(kind.length()), 16));
        } catch (NumberFormatException e) {
          // another's file
        }
      }
    }
    numbers.sort(newestFirst ? Comparator.reverseOrder() : Comparator.naturalOrder());
    return numbers;
  }

  /** What the opening found. */
  public Found found() {
    return found;
  }

  // ---- more

  /** The number of the last record. */
  public long last() {
    return last;
  }

  /**
   * Appends a record; its number. It is there after a loss of power once {@link #force} has come
   * back.
   */
  public long append(byte[] bytes) throws IOException {
    if (bytes.length < 1 || bytes.length > terms.mostBytes()) {
      throw new IllegalArgumentException(
          "a record of " + bytes.length + " bytes, 1 to " + terms.mostBytes() + " are allowed");
    }
    return trusted(
        () -> {
          if (size > HEAD && size + RECORD_HEAD + bytes.length > terms.segmentBytes()) {
            forceFile(); // what follows in the next segment is only believed after all of this one
            file.close();
            segment(last + 1);
          }
          ByteBuffer record = ByteBuffer.allocate(RECORD_HEAD + bytes.length);
          record.putInt(bytes.length).putLong(last + 1).putLong(forced).putInt(0).put(bytes);
          record.putInt(SUM_AT, sum(record, 0, SUM_AT, RECORD_HEAD, bytes.length));
          file.write(size, record.flip());
          size += RECORD_HEAD + bytes.length;
          return ++last;
        });
  }

  /** All that was appended is there from now on, also after a loss of power. */
  public void force() throws IOException {
    trusted(
        () -> {
          forceFile();
          return null;
        });
  }

  /**
   * Has this state stand for all records up to a number, which need not be the last: what it stands
   * for goes once it is there.
   */
  public void snapshot(long upTo, byte[] state) throws IOException {
    if (upTo < 1 || upTo > last || state.length > MOST_FILE / 2) {
      throw new IllegalArgumentException(
          "a snapshot of " + state.length + " bytes up to " + upTo + " of " + last);
    }
    trusted(
        () -> {
          forceFile();
          if (!on(Part.SNAPSHOT_FIRST)) {
            forget(upTo);
          }
          try (Disk.File f = disk.open(UNFINISHED)) {
            ByteBuffer all = ByteBuffer.allocate(HEAD + state.length + 4);
            all.put(head(SNAPSHOT_MAGIC, upTo, state.length)).put(state);
            all.putInt(sum(all, 0, HEAD, HEAD, state.length)).flip();
            f.truncate(0);
            f.write(0, all);
            if (on(Part.FORCED_SNAPSHOT)) {
              f.force();
            }
          }
          disk.rename(UNFINISHED, name(SNAPSHOT, upTo));
          disk.forceFolder();
          forget(upTo);
          return null;
        });
  }

  private void forceFile() throws IOException {
    file.force();
    forced = last;
  }

  private void forget(long upTo) throws IOException {
    while (segments.size() > 1 && segments.get(1) <= upTo + 1) {
      disk.delete(name(SEGMENT, segments.remove(0)));
    }
    for (long older : numbers(disk.list(), SNAPSHOT, false)) {
      if (older < upTo) {
        disk.delete(name(SNAPSHOT, older));
      }
    }
  }

  private void segment(long first) throws IOException {
    file = disk.open(name(SEGMENT, first));
    file.truncate(0);
    file.write(0, head(SEGMENT_MAGIC, first, 0));
    if (on(Part.FORCED_NAMES)) {
      file.force();
      disk.forceFolder();
    }
    size = HEAD;
    segments.remove(first);
    segments.add(first);
  }

  private interface Work<T> {
    T done() throws IOException;
  }

  private <T> T trusted(Work<T> work) throws IOException {
    if (broken) {
      throw new IOException(
          "the disk has failed before: nothing more is written until the next start");
    }
    broken = true;
    T done = work.done();
    broken = false;
    return done;
  }

  /** Lets go of the files; what was not forced may or may not be there later. */
  @Override
  public void close() throws IOException {
    try (Closeable last = lock;
        Closeable open = file) {
      broken = true;
    }
  }

  @Override
  public String toString() {
    return "journal up to "
        + last
        + " in "
        + segments.size()
        + " segments, found "
        + found
        + Arrays.toString(without.toArray());
  }
}
