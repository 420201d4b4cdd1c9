package cacheproxy.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.storage.Journal.Part;
import cacheproxy.storage.Journal.Terms;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What a loss of power leaves is what the forced writes allow, and damage is told. */
@Timeout(120)
class JournalTest {
  private static final Terms SMALL = new Terms(300, 200);
  private static final Terms ONE_SEGMENT = new Terms(10_000, 200);
  private static final Set<Part> ALL = EnumSet.noneOf(Part.class);
  private static final String FIRST = "journal-0000000000000001";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** What it is told, in order; a snapshot is its records with commas between. */
  private static final class Read implements Journal.Reader {
    final List<String> all = new ArrayList<>();

    @Override
    public void snapshot(long upTo, byte[] state) {
      all.addAll(List.of(new String(state, StandardCharsets.UTF_8).split(",")));
      assertThat(all).hasSize((int) upTo);
    }

    @Override
    public void record(long number, byte[] of) {
      all.add(new String(of, StandardCharsets.UTF_8));
      assertThat(all).hasSize((int) number);
    }
  }

  /** What was appended and what was forced: the model beside the journal. */
  private static final class Model {
    final List<String> appended = new ArrayList<>();
    int forced;
    WriteBackDisk disk = new WriteBackDisk();

    /**
     * Opens, and holds what it finds against the model; what is found is what there is from now on.
     */
    Journal open(Set<Part> without) throws IOException {
      Read read = new Read();
      Journal journal = Journal.open(disk, SMALL, read, without);
      assertThat(journal.found().damage()).isEmpty();
      assertThat(read.all.size()).as("forced").isBetween(forced, appended.size());
      assertThat(read.all).isEqualTo(appended.subList(0, read.all.size()));
      appended.subList(read.all.size(), appended.size()).clear();
      forced = read.all.size();
      return journal;
    }

    void append(Journal journal, String record) throws IOException {
      appended.add(record);
      journal.append(bytes(record));
    }

    void force(Journal journal) throws IOException {
      journal.force();
      forced = appended.size();
    }

    void snapshot(Journal journal, int upTo) throws IOException {
      journal.snapshot(upTo, bytes(String.join(",", appended.subList(0, upTo))));
      forced = appended.size();
    }
  }

  /**
   * Appends, forces, snapshots and six losses of power by the seed; fails where what is read is not
   * what is allowed.
   */
  private static void history(long seed, Set<Part> without) {
    SplittableRandom lots = new SplittableRandom(seed);
    Model m = new Model();
    for (int life = 0; life < 6; life++) {
      m.disk.powerAt(1 + lots.nextInt(60));
      try {
        Journal journal = m.open(without);
        while (true) {
          int what = lots.nextInt(10);
          if (what == 0 && !m.appended.isEmpty()) {
            m.snapshot(journal, 1 + lots.nextInt(m.appended.size()));
          } else if (what < 4) {
            m.force(journal);
          } else {
            m.append(journal, life + ":" + m.appended.size() + ":" + "x".repeat(lots.nextInt(60)));
          }
        }
      } catch (WriteBackDisk.PowerLost e) {
        m.disk = m.disk.after(lots);
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }
  }

  private static boolean wrong(long seed, Set<Part> without) {
    try {
      history(seed, without);
      return false;
    } catch (AssertionError | RuntimeException e) {
      return true;
    }
  }

  @Test
  void in2000HistoriesWhatIsReadIsWhatTheForcedWritesAllow() {
    assertThat(
            IntStream.range(0, 2000).parallel().filter(seed -> wrong(seed, ALL)).boxed().toList())
        .as("seeds")
        .isEmpty();
  }

  /**
   * Each part is there for something: without it some history reads what it may not, or not what it
   * must.
   */
  @ParameterizedTest
  @EnumSource(value = Part.class, names = "LOOK_BEYOND", mode = EnumSource.Mode.EXCLUDE)
  void withoutOneOfItsPartsSomeHistoryIsWrong(Part part) {
    assertThat(IntStream.range(0, 4000).parallel().anyMatch(seed -> wrong(seed, EnumSet.of(part))))
        .isTrue();
  }

  /**
   * Power goes at each operation in turn, of a life that has every kind of write, and once more
   * while it is read again.
   */
  @Test
  void powerMayGoInTheMiddleOfEveryKindOfWriteAndOfTheReadingAfterIt() throws IOException {
    boolean whole = false;
    int cut = 0;
    for (int at = 1; !whole; at++) {
      for (int seed = 0; seed < 20; seed++) {
        SplittableRandom lots = new SplittableRandom(seed * 1000L + at);
        Model m = new Model();
        m.disk.powerAt(at);
        try {
          Journal journal = m.open(ALL);
          for (int i = 0; i < 20; i++) {
            m.append(journal, "record " + i + "y".repeat(i * 3));
            if (i % 5 == 4) {
              m.force(journal);
            }
            if (i == 12) {
              m.snapshot(journal, 10);
            }
          }
          whole = true;
        } catch (WriteBackDisk.PowerLost e) {
          cut++;
        }
        for (int again = 1 + seed % 8; again > 0; again--) {
          m.disk = m.disk.after(lots).powerAt(again);
          try {
            m.open(ALL).close();
          } catch (WriteBackDisk.PowerLost e) {
            // in the middle of its recovery
          }
        }
        for (String more : List.of("more", "and more")) {
          m.disk = m.disk.after(lots);
          Journal journal = m.open(ALL);
          m.append(journal, more);
          m.force(journal);
          journal.close();
        }
      }
    }
    assertThat(cut).isGreaterThan(500);
  }

  /** Ten records, of which a force behind the ninth says that they were forced. */
  private static WriteBackDisk ten() throws IOException {
    WriteBackDisk disk = new WriteBackDisk();
    try (Journal journal = Journal.open(disk, ONE_SEGMENT, new Read())) {
      for (int i = 1; i <= 10; i++) {
        journal.append(bytes("record " + i));
        if (i >= 9) {
          journal.force();
        }
      }
    }
    return disk;
  }

  /** Opens what is there and appends one: what was read, and what the next opening reads. */
  private static List<String> goesOn(WriteBackDisk disk, int damages) throws IOException {
    Read read = new Read();
    try (Journal journal = Journal.open(disk, ONE_SEGMENT, read)) {
      assertThat(journal.found().damage()).hasSize(damages);
      journal.append(bytes("new"));
      journal.force();
    }
    Read again = new Read();
    try (Journal journal = Journal.open(disk, ONE_SEGMENT, again)) {
      assertThat(journal.found().damage()).as("told once").isEmpty();
    }
    read.all.add("new");
    assertThat(again.all).isEqualTo(read.all);
    return read.all;
  }

  @Test
  void aTornTailIsCutAtEveryByteAndDamageInTheMiddleIsToldAndKeptAside() throws IOException {
    byte[] whole = ten().content(FIRST);
    for (int cut = 0; cut < whole.length; cut++) {
      WriteBackDisk disk = new WriteBackDisk();
      disk.put(FIRST, Arrays.copyOf(whole, cut));
      goesOn(disk, 0);
    }
    for (int bit = 30; bit < 200; bit += 7) {
      WriteBackDisk disk = ten();
      disk.spoil(FIRST, bit);
      assertThat(goesOn(disk, 1)).as("nothing after it").hasSizeLessThan(9);
      assertThat(disk.content("damaged-" + FIRST)).hasSameSizeAs(whole);
    }
    WriteBackDisk silent = ten();
    silent.spoil(FIRST, 100);
    Journal without = Journal.open(silent, ONE_SEGMENT, new Read(), EnumSet.of(Part.LOOK_BEYOND));
    assertThat(without.found().damage())
        .as("without the look beyond it would be skipped in silence")
        .isEmpty();
  }

  @Test
  void aSegmentThatLacksASpoiltSnapshotAndAFileThatIsTooLongAreTold() throws IOException {
    WriteBackDisk disk = new WriteBackDisk();
    try (Journal journal = Journal.open(disk, SMALL, new Read())) {
      for (int i = 0; i < 40; i++) {
        journal.append(bytes("record " + i));
      }
    }
    disk.delete(
        disk.list().stream().filter(n -> n.startsWith("journal-")).sorted().toList().get(1));
    Read read = new Read();
    try (Journal journal = Journal.open(disk, SMALL, read)) {
      assertThat(journal.found().damage().get(0)).contains("lack");
      assertThat(read.all).isNotEmpty().hasSizeLessThan(40);
      journal.snapshot(journal.last(), bytes(String.join(",", read.all)));
    }
    disk.spoil(
        disk.list().stream().filter(n -> n.startsWith("snapshot-")).findFirst().orElseThrow(), 25);
    try (Journal journal = Journal.open(disk, SMALL, new Read())) {
      assertThat(journal.found().damage().get(0)).contains("fails its sum");
    }
    disk.put(FIRST, new byte[Journal.MOST_FILE + 1]);
    assertThatThrownBy(() -> Journal.open(disk, SMALL, new Read())).hasMessageContaining("at most");
  }

  @Test
  void afterAnErrorNothingMoreIsTakenTwoDoNotShareAFolderAndALaterVersionIsLeftAsItIs()
      throws IOException {
    WriteBackDisk disk = new WriteBackDisk();
    Journal journal = Journal.open(disk, SMALL, new Read());
    assertThatThrownBy(() -> Journal.open(disk, SMALL, new Read())).hasMessageContaining("another");
    journal.append(new byte[] {1});
    disk.errorAt(1);
    assertThatThrownBy(journal::force).hasMessageContaining("No space");
    disk.errorAt(1_000_000);
    assertThatThrownBy(() -> journal.append(new byte[] {1})).hasMessageContaining("failed before");
    assertThatThrownBy(() -> journal.append(new byte[201]))
        .isInstanceOf(IllegalArgumentException.class);

    WriteBackDisk other = ten();
    byte[] later = other.content(FIRST).clone();
    later[5] = 2;
    java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
    crc.update(later, 0, 20);
    ByteBuffer.wrap(later).putInt(20, (int) crc.getValue());
    other.put(FIRST, later);
    assertThatThrownBy(() -> Journal.open(other, SMALL, new Read()))
        .hasMessageContaining("version 2");
    assertThat(other.content(FIRST)).isEqualTo(later);
  }

  @Test
  void onARealFolderItIsThereAgain(@TempDir Path folder) throws IOException {
    Disk disk = new RealDisk(folder.resolve("state"));
    List<String> all = IntStream.range(0, 100).mapToObj(i -> "record " + i).toList();
    try (Journal journal = Journal.open(disk, SMALL, new Read())) {
      for (String record : all) {
        journal.append(bytes(record));
      }
      journal.snapshot(90, bytes(String.join(",", all.subList(0, 90))));
      assertThatThrownBy(() -> new RealDisk(folder.resolve("state")).lock())
          .hasMessageContaining("belongs to another");
    }
    Read read = new Read();
    try (Journal journal = Journal.open(disk, SMALL, read)) {
      assertThat(read.all).isEqualTo(all);
      assertThat(journal.found()).isEqualTo(new Journal.Found(90, 10, 0, List.of()));
    }
  }

  // ---- off the loop

  private static final class Heard implements Committer.Listener {
    final AtomicLong committed = new AtomicLong();
    final CompletableFuture<IOException> failed = new CompletableFuture<>();

    @Override
    public void committed(long accepted) {
      committed.set(accepted);
    }

    @Override
    public void failed(IOException cause) {
      failed.complete(cause);
    }
  }

  @Test
  void aDiskThatStandsStillKeepsNobodyWaitingAndItsQueueIsBounded() throws Exception {
    CountDownLatch until = new CountDownLatch(1);
    WriteBackDisk disk = new WriteBackDisk();
    Heard heard = new Heard();
    Journal journal = Journal.open(disk, Terms.USUAL, new Read());
    disk.beforeForce(
        () -> {
          try {
            until.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    int taken = 0;
    try (Committer committer = new Committer(journal, new Committer.Terms(1, 100, 10_000), heard)) {
      for (int i = 0; i < 5000; i++) {
        taken += committer.offer(bytes("record " + i)) ? 1 : 0;
      }
      assertThat(taken)
          .as("each offer has come back, and what has no room is not taken")
          .isBetween(100, 4999);
      assertThat(committer.refused()).isEqualTo(5000 - taken);
      assertThat(heard.committed.get()).isZero();
      until.countDown();
    }
    assertThat(heard.committed.get()).isEqualTo(taken);
    assertThat(disk.forces()).as("forced together").isLessThan(20);
    Read read = new Read();
    Journal.open(disk.after(new SplittableRandom(1)), Terms.USUAL, read).close();
    assertThat(read.all).hasSize(taken);
  }

  /** One that errs is said once; one that never comes back does not keep the end from coming. */
  @Test
  void aDiskThatErrsIsSaidOnceAndOneThatStandsStillForEverEndsAllTheSame() throws Exception {
    WriteBackDisk disk = new WriteBackDisk();
    Heard heard = new Heard();
    try (Committer committer =
        new Committer(
            Journal.open(disk, Terms.USUAL, new Read()),
            new Committer.Terms(0, 100, 10_000),
            heard)) {
      disk.errorAt(1);
      assertThat(committer.offer(new byte[] {1})).isTrue();
      assertThat(heard.failed.get(30, TimeUnit.SECONDS)).hasMessageContaining("No space");
      assertThat(committer.offer(new byte[] {1})).isFalse();
    }
    assertThat(heard.committed.get()).isZero();
    WriteBackDisk still = new WriteBackDisk();
    Journal journal = Journal.open(still, Terms.USUAL, new Read());
    CountDownLatch never = new CountDownLatch(1);
    still.beforeForce(
        () -> {
          while (never.getCount() > 0) { // as a system call that no interrupt ends
            Thread.onSpinWait();
          }
        });
    Committer committer = new Committer(journal, new Committer.Terms(0, 100, 10_000), new Heard());
    committer.offer(new byte[] {1});
    committer.close();
    never.countDown();
  }
}
