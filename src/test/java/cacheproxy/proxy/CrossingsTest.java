package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.Carp;
import cacheproxy.site.Loopback;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two events that cross, forced into the order that hurts. The number before each is its line in
 * docs/crossings.md.
 */
@Timeout(120)
class CrossingsTest {
  /** Of the configuration: where its messages come to, and the port of its one peer. */
  /** Half of the deadline of a request. */
  private static final Duration WELL_IN_TIME = Duration.ofSeconds(4);

  private static final String PEERS =
      "\"peer_listen\":\"%s\",\"peers\":[\"127.0.0.1:1\",\"127.0.0.1:%2$d\"],\"peers_all\":\"127.0.0.1:%2$d\",";

  private final Stage stage = new Stage();

  private static String slowConnect(String config) {
    return config.replace("\"connect-timeout\":500", "\"connect-timeout\":60000");
  }

  private static UnaryOperator<String> without(String cap) {
    return c -> c.replace("\"" + cap + "\":true", "\"" + cap + "\":false");
  }

  @SafeVarargs
  private static UnaryOperator<String> all(UnaryOperator<String>... changes) {
    return c -> {
      String text = c;
      for (UnaryOperator<String> change : changes) {
        text = change.apply(text);
      }
      return text;
    };
  }

  /**
   * A discovery that has one piece of news, told once it is asked to; what it told is in use once
   * it is asked again.
   */
  private final class News {
    final CountDownLatch due = new CountDownLatch(1);
    final CountDownLatch inUse = new CountDownLatch(1);
    final Peer peer;

    News(String... hosts) {
      AtomicInteger calls = new AtomicInteger();
      peer =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  if (calls.incrementAndGet() > 1) {
                    inUse.countDown();
                    Thread.sleep(Stage.PATIENCE.toMillis() * 3);
                  }
                  due.await();
                  line.http(
                      "200 OK",
                      "",
                      Stage.list(2, hosts)
                          .replace("\"whole\":true", "\"whole\":" + (hosts.length > 1)));
                }
              });
    }

    void tell() throws InterruptedException {
      due.countDown();
      inUse.await();
    }
  }

  /** An origin that serves each key's own text. */
  private Peer origin() {
    return stage.peer(
        line -> {
          for (String head; (head = line.head()) != null; ) {
            line.http("200 OK", "", head.split("[ /]")[2]);
          }
        });
  }

  private int clients() {
    return stage
        .proxy
        .loop()
        .submit(() -> stage.proxy.connectionAdmission().clients().size())
        .syncUninterruptibly()
        .getNow();
  }

  private void awaitAttempts(int n) throws InterruptedException {
    Stage.await(
        () ->
            stage
                    .proxy
                    .loop()
                    .submit(() -> stage.proxy.dispatcher().attemptsInFlight())
                    .syncUninterruptibly()
                    .getNow()
                == n);
  }

  // ---- a connection that comes up late

  /** 1. The attempt was written when its connection came up, however long after the grace. */
  @ParameterizedTest
  @ValueSource(
      strings = {"drains", "is removed", "is not on the whole list", "is restarted", "moves"})
  void whatWaitsForAConnectionGoesElsewhereWhenItsNode(String does) throws Exception {
    try (stage) {
      DelayedAcceptServer late = new DelayedAcceptServer(stage);
      Peer origin = origin();
      String node = Stage.host("s-1", "cache", late.address(), "up");
      News news =
          switch (does) {
            case "drains" -> new News(node.replace("\"up\"", "\"draining\""));
            case "is removed" -> new News(node.replace("\"up\"", "\"removed\""));
            case "is restarted" ->
                new News(
                    node.replace("\"born_ms\":0", "\"born_ms\":" + System.currentTimeMillis()));
            case "moves" -> new News(node.replace(late.address(), "127.0.0.1:1"));
            default ->
                new News(
                    Stage.origin(origin), Stage.host("s-2", "cache", "127.0.0.1:1", "draining"));
          };
      stage.change =
          all(CrossingsTest::slowConnect, without("may-cancel"), without("second-copies"));
      stage.start(news.peer, node, Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1").replace("d=8000", "d=60000"));
      awaitAttempts(1);
      news.tell();
      assertThat(client.read()).isEqualTo("VA 1 O1");
      assertThat(client.read()).isEqualTo("a");
      late.startAccepting(
          line -> {
            while (line.read() != null) { // nothing is answered
            }
          });
      Stage.await(() -> late.hasAcceptedConnection()); // it is up
      Stage.serves(stage.client(), "2", "a");
      assertThat(late.receivedLines()).noneMatch(l -> l.contains("O1 "));
    }
  }

  /**
   * 2. Where nothing may be called off, an attempt went out for one who had left while its
   * connection came up.
   */
  @Test
  void nothingIsWrittenForAClientThatLeftWhileTheConnectionCameUp() throws Exception {
    try (stage) {
      DelayedAcceptServer late = new DelayedAcceptServer(stage);
      stage.change =
          all(CrossingsTest::slowConnect, without("may-cancel"), without("second-copies"));
      stage.start(
          stage.quietDiscovery(),
          Stage.host("s-1", "cache", late.address(), "up"),
          Stage.origin(origin()));
      Peer.Line gone = stage.client();
      gone.write(Stage.read("a", "1"));
      awaitAttempts(1);
      gone.close();
      Stage.await(() -> clients() == 0);
      Peer.Line stays = stage.client();
      stays.write(Stage.read("b", "2"));
      awaitAttempts(2);
      late.startAccepting(
          line -> {
            for (String text; (text = line.read()) != null; ) {
              Stage.answer(line, text);
            }
          });
      assertThat(stays.read()).isEqualTo("VA 2 O2");
      assertThat(late.receivedLines()).hasSize(1);
    }
  }

  /**
   * 3. Others wait for its fetch, which must not go out under the id of one who has left: another
   * of them asks.
   */
  @Test
  void whoWaitsForAFetchTakesItOverWhenItsClientLeavesBeforeItIsSent() throws Exception {
    try (stage) {
      DelayedAcceptServer late = new DelayedAcceptServer(stage);
      stage.change = CrossingsTest::slowConnect;
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", stage.emptyCache()),
          Stage.host("s-ffff", "origin", late.address(), "up"));
      Peer.Line leader = stage.client();
      leader.write(Stage.read("a", "1"));
      awaitAttempts(1);
      Peer.Line follower = stage.client();
      follower.write(Stage.read("a", "2"));
      Stage.await(
          () ->
              stage
                      .proxy
                      .loop()
                      .submit(() -> stage.proxy.dispatcher().openRequests())
                      .syncUninterruptibly()
                      .getNow()
                  == 2);
      awaitAttempts(1); // its miss is over
      leader.close();
      Stage.await(() -> clients() == 1);
      late.startAccepting(
          line -> {
            while (line.head() != null) {
              line.http("200 OK", "", "hi");
            }
          });
      assertThat(follower.read()).isEqualTo("VA 2 O2");
      assertThat(late.receivedLines()).contains("Req-Id: 2").doesNotContain("Req-Id: 1");
    }
  }

  // ---- a client that has left unseen

  /**
   * 4. Sixteen commands in hand, nothing more is read: its end lay behind the next one, and was not
   * seen.
   */
  @ParameterizedTest
  @ValueSource(ints = {4, 2000})
  void aClientThatLeavesWithAFullHandIsNoticed(int behind) throws Exception {
    try (stage) {
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", stage.peer(Peer.Line::read)),
          Stage.origin(origin()));
      Peer.Line client = stage.client();
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 16; i++) {
        text.append(Stage.read("a", "" + i).replace("d=8000", "d=600000"));
      }
      client.write(text.toString());
      awaitAttempts(16);
      client.write(Stage.read("a", "x").repeat(behind));
      client.close();
      Stage.await(() -> clients() == 0);
      awaitAttempts(0);
    }
  }

  /**
   * 5. What was read behind a bad command was worked off before the end of the connection behind it
   * was seen.
   */
  @Test
  void nothingIsSentForWhoLeftWhileItsErrorWaited() throws Exception {
    try (stage) {
      Peer cache = stage.fullCache();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin()));
      Peer.Line client = stage.client();
      client.write("hello\r\n" + Stage.read("a", "1"));
      client.close();
      Stage.await(() -> clients() == 0);
      Stage.serves(stage.client(), "2");
      assertThat(cache.heard).hasSize(1);
    }
  }

  /**
   * 14. The loop stands still while a client asks and leaves: what it asked was read first, and
   * sent on.
   */
  @Test
  void nothingIsSentForWhoLeftWhileTheLoopStoodStill() throws Exception {
    HeldLoop hold = new HeldLoop();
    try (stage) {
      stage.allocator = hold;
      Peer cache = stage.fullCache();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin()));
      Peer.Line other = stage.client();
      Peer.Line client = stage.client();
      Stage.await(() -> clients() == 2);
      hold.during(
          () -> other.write("mn\r\n"),
          () -> {
            client.write(Stage.read("a", "1"));
            client.close();
            Thread.sleep(500); // left for longer than 0.3 s
          });
      Stage.await(() -> clients() == 1);
      Stage.serves(other.read().equals("MN") ? other : null, "2");
      assertThat(cache.heard).hasSize(1);
    }
  }

  // ---- one attempt at a time

  /**
   * 6. Called off on a connection that others hold open, an attempt is still out. The next one was
   * a second copy, which the settings do not allow.
   */
  @Test
  void withoutSecondCopiesNothingFollowsAnAttemptThatIsStillOut() throws Exception {
    try (stage) {
      Peer mute =
          stage.peer(
              line -> {
                while (line.read() != null) { // answers nothing
                }
              });
      Peer other = stage.fullCache();
      stage.change =
          all(without("second-copies"), c -> c.replace("\"balancers\":2", "\"balancers\":10"));
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", mute),
          Stage.cache("s-2", other),
          Stage.origin(origin()));
      Peer.Line holds = stage.client();
      holds.write(
          Stage.read(keyOf("s-1", 0), "1").replace("c=read", "c=pay").replace("d=8000", "d=60000"));
      Stage.await(() -> mute.heard.size() == 1);
      Peer.Line client = stage.client();
      client.write(Stage.read(keyOf("s-1", 1), "2").replace("d=8000", "d=1200"));
      assertThat(client.read()).startsWith("SERVER_ERROR busy"); // safe to repeat, and over in time
      assertThat(mute.heard).hasSize(2);
      assertThat(mute.lines).hasSize(1);
      assertThat(other.heard).isEmpty();
    }
  }

  /** 7. Alone on its connection, it is over with that, and the runner-up has its turn. */
  @Test
  void withoutSecondCopiesAnAttemptThatIsAloneOnItsConnectionIsFollowed() throws Exception {
    try (stage) {
      Peer mute =
          stage.peer(
              line -> {
                while (line.read() != null) { // answers nothing
                }
              });
      stage.change = without("second-copies");
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", mute),
          Stage.cache("s-2", stage.fullCache()),
          Stage.origin(origin()));
      Peer.Line client = stage.client();
      client.write(Stage.read(keyOf("s-1", 0), "1"));
      assertThat(client.read()).isEqualTo("VA 2 O1");
      Stage.await(() -> mute.open() == 0);
    }
  }

  /** The n-th key of which this one of s-1 and s-2 has the top score. */
  static String keyOf(String node, int n) {
    int left = n;
    for (long key = 1; ; key++) {
      double one = Carp.score(Carp.keyHash(key), Carp.memberHash(1), 1);
      double two = Carp.score(Carp.keyHash(key), Carp.memberHash(2), 1);
      if (one > two == node.equals("s-1") && left-- == 0) {
        return Long.toHexString(key);
      }
    }
  }

  // ---- an answer that comes twice

  /**
   * 12. The second copy of an origin's answer lies in the kernel as the next write comes: the loop
   * stood still. Without an id it was taken for that write's answer, which its client was served.
   * The same for a cache node's refusal, after which a read that must not run twice was sent again.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aSecondAnswerThatIsNotReadYetIsNobodys(boolean write) throws Exception {
    HeldLoop hold = new HeldLoop();
    try (stage) {
      CountDownLatch copy = new CountDownLatch(1);
      CountDownLatch copied = new CountDownLatch(1);
      AtomicInteger asked = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  if (write) {
                    line.bytes(3);
                  }
                  int n = asked.incrementAndGet();
                  line.http("200 OK", "", "r" + n);
                  if (n == 1) {
                    copy.await();
                    line.http("200 OK", "", "r1");
                    copied.countDown();
                  }
                }
              });
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  int n = asked.incrementAndGet();
                  if (n > 2) {
                    Stage.answer(line, text);
                    continue;
                  }
                  // First a good one: a refusal right at a connection's start is the node's word on
                  // its places.
                  line.write(n == 1 ? "EN O" + Stage.id(text) + "\r\n" : "SERVER_ERROR busy\r\n");
                  if (n == 2) {
                    copy.await();
                    line.write("SERVER_ERROR busy\r\n");
                    copied.countDown();
                  }
                }
              });
      Peer full =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.http("503 Busy", "Srv-Declined: 1\r\n", "");
                }
              });
      stage.allocator = hold;
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(write ? origin : full));
      Peer.Line other = stage.client();
      Peer.Line client = stage.client();
      Stage.await(() -> clients() == 2);
      if (write) {
        client.write(Stage.write("a", "1", "pay", "xyz"));
        assertThat(client.read()).isEqualTo("HD O1 cr1");
      } else {
        for (String id : List.of("1", "2")) {
          client.write(Stage.read("a", id).replace("c=read", "c=pay"));
          assertThat(client.read()).startsWith("SERVER_ERROR busy");
        }
      }
      hold.during(
          () -> other.write("mn\r\n"),
          () -> {
            client.write(
                write
                    ? Stage.write("a", "3", "pay", "xyz")
                    : Stage.read("a", "3").replace("c=read", "c=pay"));
            copy.countDown();
            copied.await();
            Thread.sleep(30); // the connection has rested for long when the loop goes on
          });
      assertThat(client.read()).isEqualTo(write ? "HD O3 cr2" : "VA 2 O3");
      assertThat(other.read()).isEqualTo("MN");
      if (!write) {
        assertThat(cache.heard.stream().filter(l -> l.contains(" O3 "))).as("sent once").hasSize(1);
      }
    }
  }

  /**
   * 15. The copy comes some milliseconds later, here once the next write is heard on that
   * connection within that time. Only what was over within the rest that a connection takes says
   * something: a slow machine has several goes.
   */
  @Test
  void anOriginsConnectionRestsForLongerThanASecondAnswerTakes() throws Exception {
    try (stage) {
      AtomicInteger puts = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                String before = null;
                long at = 0;
                while (line.head() != null) {
                  line.bytes(3);
                  boolean late = before != null && System.nanoTime() - at < 7_000_000L;
                  String answer = "r" + puts.incrementAndGet();
                  line.http("200 OK", "", late ? before : answer);
                  before = answer;
                  at = System.nanoTime();
                }
              });
      stage.start(stage.quietDiscovery(), Stage.origin(origin));
      Peer.Line client = stage.client();
      int within = 0;
      for (int i = 0; i < 2000 && within < 3; i += 2) {
        long began = System.nanoTime();
        client.write(Stage.write("a", "w" + i, "save", "xyz"));
        client.read();
        LockSupport.parkNanos(3_500_000L); // about as long as a second answer takes
        int due = puts.get() + 1;
        client.write(Stage.write("a", "w" + (i + 1), "save", "xyz"));
        String second = client.read();
        if (System.nanoTime() - began < 7_500_000L) {
          assertThat(second).isEqualTo("HD Ow" + (i + 1) + " cr" + due);
          within++;
        }
        Thread.sleep(20);
      }
      assertThat(within).isEqualTo(3);
    }
  }

  /**
   * 16. Part of a line behind an answer stayed in the decoder, and the next answer was read behind
   * it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void partOfALineBehindAnAnswerEndsTheConnection(boolean fromOrigin) throws Exception {
    try (stage) {
      CountDownLatch answered = new CountDownLatch(1);
      CountDownLatch ended = new CountDownLatch(1);
      Peer origin =
          stage.peer(
              line -> {
                line.head();
                line.http("200 OK", "", "hi");
                answered.await();
                line.write("HT");
                line.read();
                ended.countDown();
              });
      Peer cache =
          stage.peer(
              line -> {
                Stage.answer(line, line.read());
                answered.await();
                line.write("VA");
                line.read();
                ended.countDown();
              });
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", fromOrigin ? stage.emptyCache() : cache),
          Stage.origin(origin));
      Stage.serves(stage.client(), "1");
      answered.countDown();
      ended.await();
    }
  }

  // ---- a list that goes quiet

  /**
   * 8. A watch that never answers was given up when what it should have told counted as told, and
   * begun again after a pause: the list was in use over a second too late. What counts is the
   * beginning of the next call.
   */
  @ParameterizedTest
  @CsvSource({"ask, 500, ''", "ask, 2000, ''", "push, 500, ''", "push, 500, HTTP/1.1 200 OK"})
  void aSilentWatchIsBegunAgainInTime(String discovery, int graceMs, String says) throws Exception {
    try (stage) {
      AtomicLong first = new AtomicLong();
      AtomicInteger calls = new AtomicInteger();
      Peer cache = stage.fullCache();
      Peer silent =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  if (calls.incrementAndGet() > 1) {
                    line.http("200 OK", "", Stage.list(2, Stage.cache("s-2", cache)));
                  } else {
                    first.set(System.nanoTime());
                    line.write(says);
                    line.read();
                  }
                }
              });
      stage.change =
          c ->
              c.replace("\"discovery\":\"ask\"", "\"discovery\":\"" + discovery + "\"")
                  .replace("\"drain-grace\":2000", "\"drain-grace\":" + graceMs);
      stage.start(silent, Stage.cache("s-1", cache));
      Stage.await(() -> calls.get() > 1);
      double tookMs = (System.nanoTime() - first.get()) / 1e6;
      String call = silent.heard.iterator().next();
      int wait = Integer.parseInt(call.replaceAll(".*timeout_ms=(\\d+).*", "$1"));
      double toldMs = Math.max(6000, wait + 2000);
      assertThat(tookMs)
          .as("waited %d", wait)
          .isGreaterThan(wait)
          .isLessThan(toldMs + graceMs - 700);
    }
  }

  /**
   * 13. A peer's word on a newer list crosses a call that has just been made and stands in
   * discovery's line: it was given up for one more at the line's end, and the list came too late by
   * that. What counts is that one call has the news.
   */
  @Test
  void aPeersWordDoesNotPutACallThatWasJustMadeAtTheLinesEnd() throws Exception {
    try (stage;
        DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      stage.peers = PEERS.formatted("127.0.0.1:0", peer.getLocalPort());
      Peer cache = stage.fullCache();
      AtomicInteger calls = new AtomicInteger();
      Peer discovery =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  if (calls.incrementAndGet() == 1) {
                    byte[] hint = {(byte) 0xC1, 'v', 0, 0, 0, 0, 0, 0, 0, 5};
                    Stage.await(() -> stage.proxy != null);
                    peer.send(new DatagramPacket(hint, hint.length, stage.proxy.peerAddress()));
                    Thread.sleep(1500); // in line
                    line.http("200 OK", "", Stage.list(5, Stage.cache("s-2", cache)));
                  }
                }
              });
      stage.start(discovery, Stage.cache("s-1", cache));
      Stage.await(() -> calls.get() == 2);
      assertThat(discovery.heard.stream().filter(l -> l.startsWith("GET")))
          .hasSize(2)
          .last()
          .asString()
          .contains("since=5&");
    }
  }

  /**
   * 20. As 13, where the service is known to be slow: a call may stand in its queue for up to 3 s,
   * and was given up after 2 s for one that an overbooked service refuses. Each call here is
   * answered 2.6 s after it came.
   */
  @Test
  void aPeersWordDoesNotGiveUpACallInAQueueThatIsKnownToBeLong() throws Exception {
    try (stage;
        DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      stage.peers = PEERS.formatted("127.0.0.1:0", peer.getLocalPort());
      Peer cache = stage.fullCache();
      AtomicInteger calls = new AtomicInteger();
      Peer discovery =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  int call = calls.incrementAndGet();
                  Stage.await(() -> stage.proxy != null);
                  if (call == 2) {
                    byte[] hint = {(byte) 0xC1, 'v', 0, 0, 0, 0, 0, 0, 0, 5};
                    peer.send(new DatagramPacket(hint, hint.length, stage.proxy.peerAddress()));
                  }
                  if (call <= 2) {
                    Thread.sleep(2600); // in the queue
                    line.http(
                        "200 OK", "", Stage.list(call == 1 ? 4 : 5, Stage.cache("s-2", cache)));
                  }
                }
              });
      stage.start(discovery, Stage.cache("s-1", cache));
      Stage.await(() -> calls.get() == 3);
      assertThat(discovery.heard.stream().filter(l -> l.startsWith("GET")))
          .hasSize(3)
          .last()
          .asString()
          .contains("since=5&");
    }
  }

  /**
   * 19. All descriptors for servers are in use, and the one connection that could make room is the
   * one that was just chosen, as it rests after its answer: it was closed for room, and written on.
   * Its attempt was silent until its time was up.
   */
  @Test
  void whatIsClosedToMakeRoomIsNotWrittenOn() throws Exception {
    HeldLoop hold = new HeldLoop();
    try (stage) {
      CountDownLatch answers = new CountDownLatch(1);
      CountDownLatch answered = new CountDownLatch(1);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  answers.await();
                  Stage.answer(line, text);
                  answered.countDown();
                }
              });
      stage.allocator = hold;
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line other = stage.client();
      Peer.Line first = stage.client();
      Peer.Line second = stage.client();
      Stage.await(() -> clients() == 3);
      first.write(Stage.read("a", "1"));
      Stage.await(() -> !cache.heard.isEmpty());
      // In use up to the bound and by as many more as may be closing in one round.
      stage
          .proxy
          .loop()
          .submit(
              () -> {
                Dispatcher dispatcher = stage.proxy.dispatcher();
                while (dispatcher.mayOpenUpstreamConnection()) {
                  dispatcher.upstreamConnectionOpened();
                }
              })
          .sync();
      hold.during(
          () -> other.write("mn\r\n"),
          () -> {
            answers.countDown();
            answered.await();
            second.write(Stage.read("b", "2")); // read right behind the answer, in the same round
          });
      assertThat(first.read()).isEqualTo("VA 2 O1");
      long beganNanos = System.nanoTime();
      String line = second.read();
      assertThat(Duration.ofNanos(System.nanoTime() - beganNanos)).isLessThan(WELL_IN_TIME);
      boolean sent = cache.heard.stream().anyMatch(l -> l.contains(" O2 "));
      if (sent) { // the loop was late by more than the connection rests, so that it could be used
        assertThat(line).isEqualTo("VA 2 O2");
        assertThat(cache.lines).hasSize(1);
      } else {
        assertThat(line).startsWith("SERVER_ERROR");
      }
    }
  }

  // ---- a start

  /**
   * 18. A peer's message came before there was a module to hear it, which was a fault in the log,
   * one for each.
   */
  @Test
  void aPeersMessageWithinTheStartIsDropped() throws Exception {
    PrintStream err = System.err;
    ByteArrayOutputStream log = new ByteArrayOutputStream();
    try (stage;
        Loopback own = new Loopback();
        DatagramSocket peer = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      InetSocketAddress at = new InetSocketAddress(own.host(), own.port());
      stage.peers = PEERS.formatted(at.getHostString() + ":" + at.getPort(), peer.getLocalPort());
      System.setErr(new PrintStream(log, true));
      Thread speaks =
          new Thread(
              () -> {
                for (; stage.proxy == null; LockSupport.parkNanos(1_000_000)) {
                  try {
                    peer.send(new DatagramPacket(new byte[] {1, 2, 3}, 3, at));
                  } catch (IOException e) {
                    // nobody listens there yet
                  }
                }
              });
      speaks.start();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      speaks.join();
      Stage.serves(stage.client(), "1");
    } finally {
      System.setErr(err);
    }
    assertThat(log.toString(StandardCharsets.UTF_8)).contains("warm-up").doesNotContain("fault");
  }

  // ---- an end with requests in hand

  /**
   * 9. It is killed 3.7 s after it is told to end where deadlines are longer; who waits longer was
   * never answered.
   */
  @Test
  void whoWaitsLongerThanTheProcessLivesIsAnsweredBeforeItIsKilled() throws Exception {
    try (stage) {
      Peer mute = stage.peer(Peer.Line::read);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", mute));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1"));
      Stage.await(() -> !mute.heard.isEmpty());
      long told = System.nanoTime();
      Thread end = new Thread(stage.proxy::drain);
      end.start();
      assertThat(client.read()).startsWith("SERVER_ERROR ");
      assertThat((System.nanoTime() - told) / 1e9)
          .isLessThan(6); // of the 8 that it would have waited
      assertThat(client.read()).isNull();
      end.join();
    }
  }

  /** 17. What comes when no answer could be in time any more is refused, and not sent on first. */
  @Test
  void whatComesInTheProcessLastMomentIsRefusedUnsent() throws Exception {
    try (stage) {
      Peer cache = stage.fullCache();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      stage
          .proxy
          .loop()
          .submit(() -> stage.proxy.dispatcher().capDeadlines(stage.proxy.dispatcher().now()))
          .sync();
      client.write(Stage.read("a", "1"));
      assertThat(client.read()).isEqualTo("SERVER_ERROR busy");
      assertThat(cache.heard).isEmpty();
    }
  }

  /**
   * 10. Told to end before it listens, it never does; told so while it begins to, it waits for who
   * is to answer.
   */
  @Test
  void anEndWithinTheStartIsNeitherLostNorListenedThrough() throws Exception {
    LifecycleSignals<String> early = new LifecycleSignals<>();
    assertThat(early.terminationRequested()).isNull();
    assertThat(early.tryListen()).isFalse();

    LifecycleSignals<String> within = new LifecycleSignals<>();
    assertThat(within.tryListen()).isTrue();
    List<String> answers = new ArrayList<>();
    Thread hook = new Thread(() -> answers.add(within.terminationRequested()));
    hook.start();
    Stage.await(() -> hook.getState() == Thread.State.WAITING);
    within.startCompleted("proxy", p -> {});
    hook.join();
    assertThat(answers).containsExactly("proxy");
  }

  /**
   * 11. A new configuration within the start was for the one that had not been read yet, and was
   * lost.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aHangUpWithinTheStartIsHeededOnceItIsOver(boolean within) {
    LifecycleSignals<String> begun = new LifecycleSignals<>();
    List<String> reloaded = new ArrayList<>();
    if (within) {
      begun.reloadRequested(reloaded::add);
      assertThat(reloaded).isEmpty();
    }
    begun.startCompleted("proxy", reloaded::add);
    if (!within) {
      begun.reloadRequested(reloaded::add);
    }
    assertThat(reloaded).containsExactly("proxy");
  }
}
