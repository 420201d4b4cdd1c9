package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.DisconnectReason;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Peers that read or write next to nothing, and those beside them. */
@Timeout(60)
class SlowPeersTest {

  /**
   * As a usual client does: where its kept connection was ended between two requests, it sends once
   * more on a new one, which must serve it.
   */
  private static void usual(Stage stage, List<Peer.Line> lines, int i, String id) throws Exception {
    String answer = null;
    try {
      lines.get(i).write(Stage.read("a", id));
      answer = lines.get(i).read();
    } catch (IOException e) {
      // ended
    }
    if (answer == null) {
      lines.set(i, stage.client());
      Stage.serves(lines.get(i), id);
    } else {
      assertThat(answer).isEqualTo("VA 2 O" + id);
      assertThat(lines.get(i).read()).isEqualTo("hi");
    }
  }

  /** What still comes until the end; a reset is an end. */
  private static long rest(Peer.Line line) throws IOException {
    long n = 0;
    byte[] some = new byte[64 << 10];
    try {
      for (int got; (got = line.socket.getInputStream().read(some)) >= 0; ) {
        n += got;
      }
    } catch (SocketException e) {
      // reset
    }
    return n;
  }

  private static void allIsGivenBack(Stage stage) throws InterruptedException {
    for (BufferPurpose h : BufferPurpose.values()) {
      Stage.await(() -> stage.held(h) == 0);
    }
  }

  /**
   * Hard case: a client that stops reading in the middle of a 64 KiB answer with 15 more commanded.
   */
  @Test
  void aClientThatStopsReadingIsCutOffAndCanTellThatItsValueIsNotWhole() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 2200, 500);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line slow = stage.narrowClient();
      for (int i = 0; i < 16; i++) {
        slow.write(Stage.read("long" + i, "s" + i));
      }
      assertThat(slow.read()).isEqualTo("VA 65536 Os0");
      assertThat(slow.bytes(20_000)).hasSize(20_000);
      Peer.Line healthy = stage.client();
      long end = System.nanoTime() + Stage.PATIENCE.toNanos();
      for (int i = 0; stage.cuts(DisconnectReason.SLOW_READER) == 0; i++) {
        Stage.serves(healthy, "h" + i);
        assertThat(System.nanoTime()).isLessThan(end);
      }
      Stage.serves(healthy, "after");
      assertThat(20_000 + rest(slow)).isLessThan(16L * Stage.LONG.length());
      assertThat(stage.mostHeld(BufferPurpose.CLIENT_RESPONSE)).isLessThanOrEqualTo(4 << 20);
      allIsGivenBack(stage);
    }
  }

  /**
   * The same by the defaults and a system's usual buffers: what the system takes must not hide that
   * nobody reads.
   */
  @Test
  void aClientThatStopsReadingIsCutOffByTheDefaults() throws Exception {
    try (Stage stage = new Stage()) {
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line slow = stage.client();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 16; i++) {
        all.append(Stage.read("long" + i, "s" + i));
      }
      slow.write(all.toString());
      assertThat(slow.read()).isEqualTo("VA 65536 Os0");
      Stage.await(() -> stage.cuts(DisconnectReason.SLOW_READER) == 1);
      allIsGivenBack(stage);
    }
  }

  /**
   * Hard case: slow ones that speed up just before each check. A burst of 2 KiB each 400 ms, inside
   * the grace of 500 ms, would pass any time-out since the last byte; it is a third of the least
   * rate.
   */
  @Test
  void aClientThatReadsInBurstsBelowTheLeastRateIsCutOff() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 2200, 500);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line slow = stage.narrowClient();
      for (int i = 0; i < 8; i++) {
        slow.write(Stage.read("long" + i, "s" + i));
      }
      long end = System.nanoTime() + Stage.PATIENCE.toNanos();
      while (stage.cuts(DisconnectReason.SLOW_READER) == 0) {
        slow.bytes(2048);
        assertThat(System.nanoTime()).isLessThan(end);
        Thread.sleep(400);
      }
      allIsGivenBack(stage);
    }
  }

  /**
   * Where answers have next to no room, a client that has taken none has two commands in hand, not
   * sixteen.
   */
  @Test
  void underPressureAClientThatHasTakenNoAnswerHasFewCommandsInHand() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.room(Stage.narrow(l, 2200, 60_000), 1 << 20, 140_000);
      AtomicBoolean hold = new AtomicBoolean(true);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  while (text.startsWith("mg held") && hold.get()) {
                    Thread.sleep(5);
                  }
                  Stage.answer(line, text);
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line hoards = stage.narrowClient();
      hoards.write(Stage.read("long1", "l1") + Stage.read("long2", "l2"));
      Stage.await(() -> stage.proxy.connectionAdmission().maxUnreadPipelined() == 2);
      Peer.Line comes = stage.client();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 16; i++) {
        all.append(Stage.read("held" + i, "c" + i));
      }
      comes.write(all.toString());
      Stage.await(() -> held(cache) == 2);
      Stage.serves(stage.client(), "u"); // the loop has been round since
      assertThat(held(cache)).isEqualTo(2);
      hold.set(false);
      for (int i = 0; i < 16; i++) {
        assertThat(comes.read()).isEqualTo("VA 2 Oc" + i);
        assertThat(comes.read()).isEqualTo("hi");
      }
    }
  }

  private static long held(Peer cache) {
    return cache.heard.stream().filter(l -> l.startsWith("mg held")).count();
  }

  /**
   * Guards against clients that reconnect at once after an error: an address that is rejected
   * repeatedly gets its errors later, and no other address does.
   */
  @Test
  void anAddressThatIsRejectedRepeatedlyGetsItsErrorsLater() throws Exception {
    try (Stage stage = new Stage()) {
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      for (int i = 0; i < 3; i++) {
        stage.clientFrom("127.0.0.77").write("nonsense\r\n");
      }
      Peer.Line fourth = stage.clientFrom("127.0.0.77");
      fourth.write("nonsense\r\n");
      assertThat(fourth.read()).startsWith("ERROR");
      assertThat(stage.cuts(DisconnectReason.BACKED_OFF)).isZero();
      for (int i = 0; i < 2; i++) {
        stage.clientFrom("127.0.0.77").write("nonsense\r\n");
      }
      Stage.await(() -> stage.cuts(DisconnectReason.BACKED_OFF) == 2);
      long asked = System.nanoTime();
      Peer.Line again = stage.clientFrom("127.0.0.77");
      again.write("nonsense\r\n");
      assertThat(again.read()).startsWith("ERROR");
      assertThat(System.nanoTime() - asked)
          .isGreaterThan(1_150_000_000L); // 1 s for every error, and 200 ms after six rejections
      assertThat(stage.cuts(DisconnectReason.BACKED_OFF)).isEqualTo(3);
      Peer.Line elsewhere = stage.clientFrom("127.0.0.78");
      elsewhere.write("nonsense\r\n");
      assertThat(elsewhere.read()).startsWith("ERROR");
      assertThat(stage.cuts(DisconnectReason.BACKED_OFF)).isEqualTo(3);
    }
  }

  /**
   * Where answers have no room for one more, the next client is refused, not lost, while the one
   * that takes nothing is within its grace. Then that one gives way, and the next one is served.
   */
  @Test
  void whoTakesNothingGivesWayToWhoAsksNextOnceItsGraceIsOver() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.room(Stage.narrow(l, 2200, 2000), 1 << 20, 140_000);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line hoards = stage.narrowClient();
      hoards.write(Stage.read("long1", "l1") + Stage.read("long2", "l2"));
      Stage.await(() -> stage.held(BufferPurpose.CLIENT_RESPONSE) > 120_000);
      Peer.Line asks = stage.client();
      asks.write(Stage.read("long3", "l3"));
      assertThat(asks.read()).isEqualTo("SERVER_ERROR busy");
      assertThat(cutReaders(stage)).isZero();
      Stage.await(() -> cutReaders(stage) == 1);
      Stage.await(() -> stage.held(BufferPurpose.CLIENT_RESPONSE) == 0);
      asks.write(Stage.read("long4", "l4"));
      assertThat(asks.read()).isEqualTo("VA 65536 Ol4");
      assertThat(rest(hoards)).isLessThan(2L * Stage.LONG.length());
      assertThat(asks.bytes(Stage.LONG.length())).isEqualTo(Stage.LONG);
      allIsGivenBack(stage);
    }
  }

  private static long cutReaders(Stage stage) {
    return stage.cuts(DisconnectReason.UNFAIR_SHARE) + stage.cuts(DisconnectReason.SLOW_READER);
  }

  /**
   * What has run may be refused only where trying it again is harmless; else it has failed. Where
   * there is no room while the value comes, it is read past, and its connection kept with what
   * waits on it.
   */
  @ParameterizedTest
  @ValueSource(
      longs = {
        40_000, 1 << 20
      }) // less than one long value, when it is whole or already while it comes
  void anAnswerWithoutRoomIsARefusalForAReadAndAFailureForWhatMayNotBeRepeated(long whole)
      throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.room(l, whole == 40_000 ? 1 << 20 : 40_000, whole);
      Peer cache = stage.fullCache();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("long", "1"));
      assertThat(client.read()).isEqualTo("SERVER_ERROR busy");
      client.write(Stage.read("long", "2").replace("c=read", "c=pay"));
      assertThat(client.read()).isEqualTo("SERVER_ERROR failed");
      client.write(Stage.read("long", "3").replace("c=read", "c=save,k=1"));
      assertThat(client.read()).isEqualTo("SERVER_ERROR failed");
      Stage.serves(client, "4");
      assertThat(stage.cuts(DisconnectReason.NO_CAPACITY)).isGreaterThanOrEqualTo(3);
      assertThat(cache.lines).noneMatch(l -> l.ended);
      allIsGivenBack(stage);
    }
  }

  /**
   * At the rate of a byte just inside each older time-out: each byte is a sign of life, and none is
   * enough.
   */
  @Test
  void aClientThatReadsAByteAtATimeIsCutOff() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 2200, 500);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line slow = stage.narrowClient();
      for (int i = 0; i < 4; i++) {
        slow.write(Stage.read("long" + i, "s" + i));
      }
      long end = System.nanoTime() + Stage.PATIENCE.toNanos();
      while (stage.cuts(DisconnectReason.SLOW_READER) == 0) {
        assertThat(slow.socket.getInputStream().read()).isNotNegative();
        assertThat(System.nanoTime()).isLessThan(end);
        Thread.sleep(20);
      }
      allIsGivenBack(stage);
    }
  }

  /**
   * One byte of a command every 100 ms: each connection is as busy as the loop can see, and goes
   * nowhere.
   */
  @Test
  void aClientThatWritesAByteAtATimeIsCutOff() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 500, 3000);
      Peer cache = stage.fullCache();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line used = stage.client();
      Stage.serves(used, "first"); // one that was served before is no better
      List<Peer.Line> slow = List.of(used, stage.client());
      String command = "ms a 60000 Os Pc=pay,t=a,d=8000,k=1\r\n" + "x".repeat(500);
      int at = 0;
      while (stage.cuts(DisconnectReason.SLOW_WRITER) < 2 && at < command.length()) {
        for (Peer.Line line : slow) {
          try {
            line.write(command.substring(at, at + 1));
          } catch (SocketException e) {
            // cut off
          }
        }
        at++;
        Thread.sleep(10);
      }
      assertThat(stage.cuts(DisconnectReason.SLOW_WRITER)).isEqualTo(2);
      assertThat(cache.heard).hasSize(1);
      allIsGivenBack(stage);
    }
  }

  /** A value of 64 KiB that comes at the least rate or better is slow and no more. */
  @Test
  void aClientThatKeepsTheLeastRateIsNotCutOff() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 300, 300);
      Peer origin =
          stage.peer(
              line -> {
                for (String head; (head = line.head()) != null; ) {
                  line.bytes(60_000);
                  line.http("200 OK", "", "r1");
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()), Stage.origin(origin));
      Peer.Line slow = stage.client();
      slow.write("ms a 60000 O1 Pc=pay,t=a,d=9000,k=1\r\n");
      String part = "x".repeat(1000);
      for (int i = 0; i < 60; i++) {
        slow.write(part);
        Thread.sleep(20); // 50,000 a second, over 16,384; longer than the grace in all
      }
      slow.write("\r\n");
      assertThat(slow.read()).isEqualTo("HD O1 cr1");
      assertThat(stage.cuts(DisconnectReason.SLOW_WRITER)).isZero();
    }
  }

  /** Streams of commands whose last one is always in parts: each has its own time. */
  @Test
  void aClientThatNeverStopsInTheMiddleOfNothingIsNotCutOff() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 300, 3000);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line client = stage.client();
      String next = Stage.read("a", "0");
      client.write(next.substring(0, 5));
      long end = System.nanoTime() + 1_500_000_000L;
      for (int i = 0; System.nanoTime() < end; i++) {
        String after = Stage.read("a", "n" + (i + 1));
        client.write(next.substring(5) + after.substring(0, 5)); // never between two commands
        assertThat(client.read()).startsWith("VA 2 O");
        assertThat(client.read()).isEqualTo("hi");
        next = after;
        Thread.sleep(10);
      }
      assertThat(stage.cuts(DisconnectReason.SLOW_WRITER)).isZero();
    }
  }

  /**
   * Hard case: a node that trickles one byte every 100 ms, with others queued behind on the same
   * connection. All of them are reads, so each has its answer from the runner-up.
   */
  @Test
  void aNodeThatTricklesIsCutOffAndTheRunnerUpServesAllThatWaited() throws Exception {
    try (Stage stage = new Stage()) {
      Peer good = stage.fullCache();
      Peer trickling =
          stage.peer(
              line -> {
                String first = line.read();
                String text = "VA 2000 O" + Stage.id(first) + "\r\n" + "t".repeat(2000) + "\r\n";
                for (int i = 0; i < text.length(); i++) {
                  line.write(text.substring(i, i + 1));
                  Thread.sleep(100);
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", trickling), Stage.cache("s-2", good));
      Peer.Line client = stage.client();
      for (int i = 0; i < 16; i++) {
        client.write(Stage.read("k" + i, "q" + i));
      }
      for (int i = 0; i < 16; i++) {
        assertThat(client.read()).isEqualTo("VA 2 Oq" + i);
        assertThat(client.read()).isEqualTo("hi");
      }
      assertThat(stage.cuts(DisconnectReason.SLOW_NODE)).isPositive();
      assertThat(trickling.heard).isNotEmpty();
    }
  }

  /**
   * Hard case: a slow peer that holds an unsafe write's answer. It may have run: failed, not
   * refused, once.
   */
  @Test
  void anUnsafeWriteWhoseAnswerTricklesFailsAndRunsOnce() throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger ran = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                line.head();
                line.bytes(5);
                ran.incrementAndGet();
                String text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1";
                for (int i = 0; i < text.length(); i++) {
                  line.write(text.substring(i, i + 1));
                  Thread.sleep(100);
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.write("a", "1", "pay", "hello"));
      assertThat(client.read()).isEqualTo("SERVER_ERROR failed");
      Stage.serves(client, "2");
      assertThat(ran).hasValue(1);
      assertThat(stage.cuts(DisconnectReason.SLOW_NODE)).isEqualTo(1);
    }
  }

  /**
   * Hard case: 60% of connections are slow at once, some reading and some writing. The others
   * notice nothing.
   */
  @Test
  void withSixInTenConnectionsSlowTheOthersAreServedAndNoneIsCut() throws Exception {
    try (Stage stage = new Stage()) {
      stage.sockets = 256; // 107 places
      stage.limits = l -> Stage.narrow(l, 700, 700);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      List<Peer.Line> slow = new ArrayList<>();
      List<Peer.Line> healthy = new ArrayList<>();
      for (int i = 0; i < 80; i++) {
        if (i % 5 < 3) {
          Peer.Line line = stage.narrowClient();
          if (i % 2 == 0) {
            for (int k = 0; k < 16; k++) {
              line.write(Stage.read("long" + k, "s" + i + "-" + k));
            }
          } else {
            line.write("ms a 60000 Os" + i + " Pc=pay,t=a,d=8000,k=1\r\nxxx");
          }
          slow.add(line);
        } else {
          healthy.add(stage.client());
        }
      }
      int served = 0;
      // A reader whose answers were all refused for want of room owes nothing and is owed nothing:
      // it may stay.
      long end = System.nanoTime() + Stage.PATIENCE.toNanos();
      // A writer that holds the most when answers have no room goes as a hoarder, before its grace
      // is over.
      assertThat(slow).hasSize(48);
      while (stage.cuts(DisconnectReason.SLOW_WRITER) + stage.cuts(DisconnectReason.UNFAIR_SHARE)
              < 24
          || stage.held(BufferPurpose.CLIENT_RESPONSE) + stage.held(BufferPurpose.REQUEST_VALUE)
              > 0) {
        assertThat(System.nanoTime()).isLessThan(end);
        for (int i = 0; i < healthy.size(); i++) {
          usual(stage, healthy, i, "h" + served++);
        }
      }
      assertThat(
              stage.cuts(DisconnectReason.SLOW_READER) + stage.cuts(DisconnectReason.UNFAIR_SHARE))
          .isPositive();
      for (int i = 0; i < healthy.size(); i++) {
        usual(stage, healthy, i, "after" + served++);
      }
      assertThat(stage.mostHeld(BufferPurpose.CLIENT_RESPONSE))
          .isLessThanOrEqualTo((4 << 20) + 80 * 1024);
      allIsGivenBack(stage);
    }
  }

  /**
   * Every buffer stands on an account: at any time between two rounds the accounts hold what the
   * allocator has given out, but for what is read of an HTTP head and the encoder's own small
   * buffers; at the end both are back where they began.
   */
  @Test
  void theAccountsHoldWhatTheAllocatorHasGivenOut() throws Exception {
    UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(true);
    try (Stage stage = new Stage()) {
      stage.allocator = allocator;
      stage.limits = l -> Stage.narrow(l, 2200, 3000);
      AtomicBoolean go = new AtomicBoolean(true);
      Peer slowly =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  String value = "w".repeat(30_000);
                  line.write("VA 30000 O" + Stage.id(text) + "\r\n" + value.substring(0, 15_000));
                  Thread.sleep(20);
                  line.write(value.substring(15_000) + "\r\n");
                }
              });
      Peer origin =
          stage.peer(
              line -> {
                for (String head; (head = line.head()) != null; ) {
                  if (head.startsWith("PUT")) {
                    line.bytes(5000);
                    Thread.sleep(20);
                    line.http("200 OK", "", "r1");
                  } else {
                    line.http("200 OK", "", "o".repeat(9000));
                  }
                }
              });
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", stage.fullCache()),
          Stage.cache("s-2", slowly),
          Stage.origin(origin));
      for (int i = 0; i < 20; i++) { // lines without an end stay in the decoders' buffers
        stage.client().write("mg " + "k".repeat(3000));
      }
      Stage.await(() -> stage.held(BufferPurpose.INPUT) >= 20 * 3000);
      List<CompletableFuture<Void>> clients = new ArrayList<>();
      for (int c = 0; c < 8; c++) {
        int seed = c;
        clients.add(CompletableFuture.runAsync(() -> drive(stage, seed, go)));
      }
      long most = 0;
      for (int i = 0; i < 400; i++) {
        long[] seen =
            stage
                .proxy
                .loop()
                .submit(
                    () -> {
                      long accounted = 0;
                      for (BufferPurpose h : BufferPurpose.values()) {
                        accounted += stage.proxy.dispatcher().accounts().reservedBytes(h);
                      }
                      return new long[] {used(allocator), accounted};
                    })
                .get();
        assertThat(seen[0])
            .as("bytes given out, with %d on accounts", seen[1])
            .isLessThanOrEqualTo(seen[1] + (24 << 10));
        most = Math.max(most, seen[0]);
        Thread.sleep(3);
      }
      go.set(false);
      for (CompletableFuture<Void> c : clients) {
        c.join();
      }
      assertThat(most).isGreaterThan(100_000); // there was something to account for
      allIsGivenBack(stage);
    }
    Stage.await(() -> used(allocator) == 0);
  }

  private static long used(UnpooledByteBufAllocator allocator) {
    return allocator.metric().usedDirectMemory() + allocator.metric().usedHeapMemory();
  }

  /** Reads, writes, half commands and breaks, by the seed; takes answers slowly at times. */
  private static void drive(Stage stage, int seed, AtomicBoolean go) {
    Random random = new Random(seed);
    int id = 0;
    try {
      while (go.get()) {
        Peer.Line line = new Peer.Line(stage.narrowClient().socket, new ConcurrentLinkedQueue<>());
        int commands = 1 + random.nextInt(12);
        for (int i = 0; i < commands; i++) {
          String name = "x" + seed + "-" + id++;
          line.write(
              random.nextInt(5) == 0
                  ? Stage.write("w" + id, name, "pay", "p".repeat(5000))
                  : Stage.read((random.nextBoolean() ? "long" : "k") + random.nextInt(50), name));
        }
        if (random.nextInt(3) == 0) {
          line.write(
              "ms half 9000 Oh"
                  + seed
                  + "-"
                  + id++
                  + " Pc=pay,t=a,d=8000,k=1\r\n"
                  + "h".repeat(4000));
        }
        int reads = random.nextInt(commands * 20_000);
        for (int got = 0; got < reads; ) {
          int n = line.socket.getInputStream().read(new byte[8000]);
          if (n < 0) {
            break;
          }
          got += n;
          line.socket.setSoTimeout(200);
          if (random.nextInt(4) == 0) {
            Thread.sleep(5);
          }
        }
        line.close();
      }
    } catch (java.net.SocketTimeoutException e) {
      drive(stage, seed + 1000 + id, go);
    } catch (Exception e) {
      throw new IllegalStateException("seed " + seed, e);
    }
  }
}
