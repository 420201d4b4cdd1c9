package damsonworks.store.durable;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import damsonworks.store.durable.Journal.Part;
import damsonworks.store.durable.Journal.Terms;
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
    private static final Set<Part> ALL = EnumSet.noneOf(Part.class);

    /** What was appended and what was forced: the model beside the journal. */
    private static final class Model {
        final List<String> appended = new ArrayList<>();
        int forced;
        WriteBackDisk disk = new WriteBackDisk();

        /** Opens, and holds what it finds against the model; what is found is what there is from now on. */
        Journal open(Set<Part> without) throws IOException {
            List<String> read = new ArrayList<>();
            Journal journal = Journal.open(disk, SMALL, new Journal.Reader() {
                @Override
                public void snapshot(long upTo, byte[] state) {
                    String text = new String(state, StandardCharsets.UTF_8);
                    read.addAll(text.isEmpty() ? List.of() : List.of(text.split(",")));
                    if (read.size() != upTo) {
                        throw new AssertionError("a snapshot up to " + upTo + " of " + read.size());
                    }
                }

                @Override
                public void record(long number, byte[] bytes) {
                    read.add(new String(bytes, StandardCharsets.UTF_8));
                    if (read.size() != number) {
                        throw new AssertionError("record " + number + " is the " + read.size() + "th");
                    }
                }
            }, without);
            if (!journal.found().damage().isEmpty()) {
                throw new AssertionError("damage: " + journal.found().damage());
            }
            if (read.size() < forced || read.size() > appended.size() || !read.equals(appended.subList(0, read.size()))) {
                throw new AssertionError("forced " + forced + " of " + appended + ", read " + read);
            }
            while (appended.size() > read.size()) {
                appended.remove(appended.size() - 1);
            }
            forced = read.size();
            return journal;
        }
    }

    /** Appends, forces, snapshots and losses of power by the seed; throws where what is read is not what is allowed. */
    private static void history(long seed, Set<Part> without) {
        SplittableRandom lots = new SplittableRandom(seed);
        Model m = new Model();
        for (int life = 0; life < 6; life++) {
            m.disk.powerAt(1 + lots.nextInt(60));
            try {
                Journal journal = m.open(without);
                while (true) {
                    switch (lots.nextInt(10)) {
                        case 0 -> {
                            if (!m.appended.isEmpty()) {
                                int upTo = 1 + lots.nextInt(m.appended.size());
                                journal.snapshot(upTo, String.join(",", m.appended.subList(0, upTo)).getBytes(StandardCharsets.UTF_8));
                                m.forced = m.appended.size();
                            }
                        }
                        case 1, 2, 3 -> {
                            journal.force();
                            m.forced = m.appended.size();
                        }
                        default -> {
                            String record = life + ":" + m.appended.size() + ":" + "x".repeat(lots.nextInt(60));
                            m.appended.add(record);
                            journal.append(record.getBytes(StandardCharsets.UTF_8));
                        }
                    }
                }
            } catch (WriteBackDisk.PowerLost e) {
                m.disk = m.disk.after(lots);
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Test
    void in2000HistoriesWhatIsReadIsWhatTheForcedWritesAllow() {
        IntStream.range(0, 2000).parallel().forEach(seed -> {
            try {
                history(seed, ALL);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        });
    }

    /** Each part is there for something: without it some history reads what it may not, or not what it must. */
    @ParameterizedTest
    @EnumSource(value = Part.class, names = "LOOK_BEYOND", mode = EnumSource.Mode.EXCLUDE)
    void withoutOneOfItsPartsSomeHistoryIsWrong(Part part) {
        assertThat(IntStream.range(0, 4000).parallel().anyMatch(seed -> {
            try {
                history(seed, EnumSet.of(part));
                return false;
            } catch (AssertionError | RuntimeException e) {
                return true;
            }
        })).isTrue();
    }

    /** Power goes at each operation in turn, of a life that has every kind of write, and once more while it is read again. */
    @Test
    void powerMayGoInTheMiddleOfEveryKindOfWriteAndOfTheReadingAfterIt() throws IOException {
        long last = Long.MAX_VALUE;
        int cut = 0;
        for (int at = 1; at < last; at++) {
            for (int seed = 0; seed < 20; seed++) {
                SplittableRandom lots = new SplittableRandom(seed * 1000L + at);
                Model m = new Model();
                m.disk.powerAt(at);
                try {
                    Journal journal = m.open(ALL);
                    for (int i = 0; i < 20; i++) {
                        m.appended.add("record " + i + "y".repeat(i * 3));
                        journal.append(m.appended.get(i).getBytes(StandardCharsets.UTF_8));
                        if (i % 5 == 4) {
                            journal.force();
                            m.forced = i + 1;
                        }
                        if (i == 12) {
                            journal.snapshot(10, String.join(",", m.appended.subList(0, 10)).getBytes(StandardCharsets.UTF_8));
                            m.forced = i + 1;
                        }
                    }
                    last = at;
                } catch (WriteBackDisk.PowerLost e) {
                    cut++;
                }
                for (int again = 1 + seed % 8; again > 0; again--) {
                    m.disk = m.disk.after(lots).powerAt(again);
                    try {
                        m.open(ALL).close();
                    } catch (WriteBackDisk.PowerLost e) {
                        continue; // in the middle of its recovery
                    }
                }
                m.disk = m.disk.after(lots);
                Journal journal = m.open(ALL);
                m.appended.add("more");
                journal.append("more".getBytes(StandardCharsets.UTF_8));
                journal.force();
                journal.close();
                m.forced = m.appended.size();
                m.disk = m.disk.after(lots);
                m.open(ALL).close();
            }
        }
        assertThat(cut).isGreaterThan(500);
    }

    private static final class Read implements Journal.Reader {
        final List<String> all = new ArrayList<>();
        long snapshot;

        @Override
        public void snapshot(long upTo, byte[] state) {
            snapshot = upTo;
        }

        @Override
        public void record(long number, byte[] bytes) {
            all.add(new String(bytes, StandardCharsets.UTF_8));
        }
    }

    private static WriteBackDisk ten() throws IOException {
        WriteBackDisk disk = new WriteBackDisk();
        try (Journal journal = Journal.open(disk, new Terms(10_000, 200), new Read())) {
            for (int i = 1; i <= 10; i++) {
                journal.append(("record " + i).getBytes(StandardCharsets.UTF_8));
                if (i == 9) {
                    journal.force();
                }
            }
            journal.force();
        }
        return disk;
    }

    private static final String FIRST = "journal-0000000000000001";

    @Test
    void aTornTailIsCutAtEveryByteAndWhatFollowsIsWrittenBehindIt() throws IOException {
        byte[] whole = ten().content(FIRST);
        for (int cut = 0; cut < whole.length; cut++) {
            WriteBackDisk disk = new WriteBackDisk();
            disk.put(FIRST, Arrays.copyOf(whole, cut));
            Read read = new Read();
            int had;
            try (Journal journal = Journal.open(disk, new Terms(10_000, 200), read)) {
                assertThat(journal.found().damage()).as("cut at %d", cut).isEmpty();
                had = read.all.size();
                journal.append("new".getBytes(StandardCharsets.UTF_8));
                journal.force();
            }
            Read again = new Read();
            Journal.open(disk, new Terms(10_000, 200), again).close();
            assertThat(again.all).hasSize(had + 1).endsWith("new");
            assertThat(again.all.subList(0, had)).isEqualTo(read.all);
        }
    }

    @Test
    void damageInTheMiddleIsToldNeverSkippedAndKeptAside() throws IOException {
        for (int bit = 30; bit < 200; bit += 7) {
            WriteBackDisk disk = ten();
            byte[] before = disk.content(FIRST).clone();
            disk.spoil(FIRST, bit);
            Read read = new Read();
            try (Journal journal = Journal.open(disk, new Terms(10_000, 200), read)) {
                assertThat(journal.found().damage()).as("byte %d", bit).hasSize(1).first().asString().contains("damaged at byte");
                assertThat(read.all).as("nothing after it").hasSizeLessThan(10).containsExactlyElementsOf(
                        IntStream.rangeClosed(1, read.all.size()).mapToObj(i -> "record " + i).toList());
                assertThat(disk.list()).contains("damaged-" + FIRST);
                assertThat(disk.content("damaged-" + FIRST)).hasSize(before.length);
                journal.append("new".getBytes(StandardCharsets.UTF_8));
                journal.force();
            }
            Read again = new Read();
            try (Journal journal = Journal.open(disk, new Terms(10_000, 200), again)) {
                assertThat(journal.found().damage()).as("told once").isEmpty();
                assertThat(again.all).hasSize(read.all.size() + 1).endsWith("new");
            }
        }
    }

    /** Without the look beyond it a bad record in the middle is taken for the end, and what follows it is gone without a word. */
    @Test
    void withoutTheLookBeyondDamageWouldBeSkippedInSilence() throws IOException {
        WriteBackDisk disk = ten();
        disk.spoil(FIRST, 100);
        Journal journal = Journal.open(disk, new Terms(10_000, 200), new Read(), EnumSet.of(Part.LOOK_BEYOND));
        assertThat(journal.found().damage()).isEmpty();
    }

    @Test
    void aSegmentThatLacksAndASnapshotThatIsSpoiltAreTold() throws IOException {
        WriteBackDisk disk = new WriteBackDisk();
        try (Journal journal = Journal.open(disk, SMALL, new Read())) {
            for (int i = 0; i < 40; i++) {
                journal.append(("record " + i).getBytes(StandardCharsets.UTF_8));
            }
            journal.force();
        }
        List<String> segments = disk.list().stream().filter(n -> n.startsWith("journal-")).sorted().toList();
        assertThat(segments).hasSizeGreaterThan(3);
        disk.delete(segments.get(1));
        Read read = new Read();
        try (Journal journal = Journal.open(disk, SMALL, read)) {
            assertThat(journal.found().damage().get(0)).contains("lack");
            assertThat(read.all).isNotEmpty().hasSizeLessThan(40);
            journal.snapshot(journal.last(), "s".getBytes(StandardCharsets.UTF_8));
        }
        String snapshot = disk.list().stream().filter(n -> n.startsWith("snapshot-")).findFirst().orElseThrow();
        disk.spoil(snapshot, 25);
        try (Journal journal = Journal.open(disk, SMALL, new Read())) {
            assertThat(journal.found().damage()).isNotEmpty().first().asString().contains("fails its sum");
        }
    }

    @Test
    void afterAnErrorNothingMoreIsTakenAndTwoDoNotShareAFolder() throws IOException {
        WriteBackDisk disk = new WriteBackDisk();
        Journal journal = Journal.open(disk, SMALL, new Read());
        assertThatThrownBy(() -> Journal.open(disk, SMALL, new Read())).isInstanceOf(IOException.class).hasMessageContaining("another");
        journal.append(new byte[] {1});
        disk.errorAt(1);
        assertThatThrownBy(journal::force).hasMessageContaining("No space");
        disk.errorAt(1_000_000);
        assertThatThrownBy(() -> journal.append(new byte[] {1})).hasMessageContaining("failed before");
        assertThatThrownBy(() -> journal.append(new byte[201])).isInstanceOf(IllegalArgumentException.class);
        journal.close();
        Journal.open(disk, SMALL, new Read()).close();
    }

    @Test
    void aFileOfALaterVersionIsNeitherReadNorCut() throws IOException {
        WriteBackDisk disk = ten();
        byte[] later = disk.content(FIRST).clone();
        later[5] = 2;
        java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
        crc.update(later, 0, 20);
        ByteBuffer.wrap(later).putInt(20, (int) crc.getValue());
        disk.put(FIRST, later);
        assertThatThrownBy(() -> Journal.open(disk, SMALL, new Read())).isInstanceOf(IOException.class).hasMessageContaining("version 2");
        assertThat(disk.content(FIRST)).isEqualTo(later);
    }

    @Test
    void onARealFolderItIsThereAgain(@TempDir Path folder) throws IOException {
        Disk disk = new RealDisk(folder.resolve("state"));
        try (Journal journal = Journal.open(disk, SMALL, new Read())) {
            for (int i = 0; i < 100; i++) {
                journal.append(("record " + i).getBytes(StandardCharsets.UTF_8));
            }
            journal.snapshot(90, "ninety".getBytes(StandardCharsets.UTF_8));
            assertThatThrownBy(() -> new RealDisk(folder.resolve("state")).lock()).hasMessageContaining("belongs to another");
        }
        Read read = new Read();
        try (Journal journal = Journal.open(disk, SMALL, read)) {
            assertThat(read.snapshot).isEqualTo(90);
            assertThat(read.all).containsExactlyElementsOf(IntStream.range(90, 100).mapToObj(i -> "record " + i).toList());
            assertThat(journal.found()).isEqualTo(new Journal.Found(90, 10, 0, List.of()));
        }
    }

    // ---- off the loop

    /** A disk whose forces take as long as the test lets them. */
    private static Disk slow(Disk disk, CountDownLatch until, AtomicLong forces) {
        return new Disk() {
            @Override
            public List<String> list() throws IOException {
                return disk.list();
            }

            @Override
            public File open(String name) throws IOException {
                File file = disk.open(name);
                return new File() {
                    @Override
                    public long size() throws IOException {
                        return file.size();
                    }

                    @Override
                    public void read(long at, ByteBuffer into) throws IOException {
                        file.read(at, into);
                    }

                    @Override
                    public void write(long at, ByteBuffer from) throws IOException {
                        file.write(at, from);
                    }

                    @Override
                    public void truncate(long size) throws IOException {
                        file.truncate(size);
                    }

                    @Override
                    public void force() throws IOException {
                        if (forces.incrementAndGet() > 1) { // the first makes the segment
                            try {
                                until.await();
                            } catch (InterruptedException e) {
                                throw new IOException(e);
                            }
                        }
                        file.force();
                    }

                    @Override
                    public void close() throws IOException {
                        file.close();
                    }
                };
            }

            @Override
            public void rename(String from, String to) throws IOException {
                disk.rename(from, to);
            }

            @Override
            public void delete(String name) throws IOException {
                disk.delete(name);
            }

            @Override
            public void forceFolder() throws IOException {
                disk.forceFolder();
            }

            @Override
            public java.io.Closeable lock() throws IOException {
                return disk.lock();
            }
        };
    }

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
        AtomicLong forces = new AtomicLong();
        Heard heard = new Heard();
        WriteBackDisk under = new WriteBackDisk();
        Journal journal = Journal.open(slow(under, until, forces), Terms.USUAL, new Read());
        int taken = 0;
        try (Committer committer = new Committer(journal, new Committer.Terms(1, 100, 10_000), heard)) {
            for (int i = 0; i < 5000; i++) {
                taken += committer.offer(("record " + i).getBytes(StandardCharsets.UTF_8)) ? 1 : 0;
            }
            assertThat(taken).as("each offer has come back, and what has no room is not taken").isBetween(100, 4999);
            assertThat(committer.refused()).isEqualTo(5000 - taken);
            assertThat(heard.committed.get()).isZero();
            until.countDown();
        }
        assertThat(heard.committed.get()).isEqualTo(taken);
        assertThat(heard.failed).isNotDone();
        assertThat(forces.get()).as("forced together").isLessThan(20);
        Read read = new Read();
        Journal.open(under.after(new SplittableRandom(1)), Terms.USUAL, read).close();
        assertThat(read.all).hasSize(taken);
    }

    @Test
    void aDiskThatErrsIsSaidOnceAndNothingMoreIsTaken() throws Exception {
        WriteBackDisk disk = new WriteBackDisk();
        Heard heard = new Heard();
        Journal journal = Journal.open(disk, Terms.USUAL, new Read());
        try (Committer committer = new Committer(journal, new Committer.Terms(0, 100, 10_000), heard)) {
            disk.errorAt(1);
            assertThat(committer.offer(new byte[] {1})).isTrue();
            assertThat(heard.failed.get(30, TimeUnit.SECONDS)).hasMessageContaining("No space");
            assertThat(committer.offer(new byte[] {1})).isFalse();
        }
        assertThat(heard.committed.get()).isZero();
    }
}
