package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Cache nodes and origins that violate the protocol, reset connections, refuse them or send long
 * values.
 */
class UpstreamTest {
  /**
   * Only the first response is malformed; the parameter is its text, with %s for the request's id.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "\u0001\u0002noise\r\n",
        "VA two O%s\r\nhi\r\n",
        "VA -2 O%s\r\nhi\r\n",
        "VA 3221225472 O%s\r\nhi",
        "VA 2 Oanother\r\nhi\r\n",
        "VA 1 O%s\r\nhi\r\n",
        "VA 9 O%s\r\nhi\r\n",
        "VA 2\r\nhi\r\n",
        "HD O%s cabc\r\n",
        "SERVER_ERROR busybody\r\n",
        "ENd O%s\r\n",
        "LINE WITHOUT END",
      })
  void malformedResponseEndsAttemptAndConnection(String malformed) throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger requests = new AtomicInteger();
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  String good = "VA 2 O%s\r\nhi\r\n";
                  line.write(
                      (requests.getAndIncrement() == 0 ? malformed : good)
                          .replace("%s", Stage.id(text)));
                }
              });
      Peer origin = stage.peer(Peer.Line::head);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1"));
      assertThat(client.read()).isEqualTo("VA 2 O1");
      assertThat(client.read()).isEqualTo("hi");
      Stage.await(() -> cache.lines.iterator().next().ended);
      assertThat(origin.heard).isEmpty();
    }
  }

  /**
   * Each node resets every second request that is sent to it first, as on an unreliable network.
   * Guards against moving keys away from a node because of such resets.
   */
  @Test
  void nodeThatResetsConnectionsKeepsItsKeys() throws Exception {
    try (Stage stage = new Stage()) {
      Map<String, String> firstSentTo = new ConcurrentHashMap<>();
      List<String> hosts = new ArrayList<>();
      for (String name : List.of("s-1", "s-2", "s-3")) {
        AtomicInteger firstRequests = new AtomicInteger();
        hosts.add(
            Stage.cache(
                name,
                stage.peer(
                    line -> {
                      for (String text; (text = line.read()) != null; ) {
                        String id = Stage.id(text);
                        if (firstSentTo.putIfAbsent(id, name) == null
                            && firstRequests.getAndIncrement() % 2 == 1) {
                          line.socket.setSoLinger(true, 0);
                          line.close();
                          return;
                        }
                        line.write("VA 2 O" + id + "\r\nhi\r\n");
                      }
                    })));
      }
      stage.start(stage.quietDiscovery(), hosts.toArray(new String[0]));
      Peer.Line client = stage.client();
      for (int i = 0; i < 48; i++) {
        client.write(Stage.read("key" + i % 12, "" + i));
        assertThat(client.read()).isEqualTo("VA 2 O" + i);
        assertThat(client.read()).isEqualTo("hi");
        assertThat(firstSentTo.get("" + i))
            .as("request %d", i)
            .isEqualTo(firstSentTo.get("" + i % 12));
      }
    }
  }

  /**
   * A cache node without a free connection slot answers the first request {@code busy} and closes
   * the connection; one whose queue is full does not close it. Guards against opening a connection
   * to the former for each request. The latter must get further requests.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void nodeWithoutConnectionSlotIsNotReconnectedForEachRequest(boolean noSlot) throws Exception {
    try (Stage stage = new Stage()) {
      Peer full =
          stage.peer(
              line -> {
                while (line.read() != null) {
                  line.write("SERVER_ERROR busy\r\n");
                  if (noSlot) {
                    line.close();
                  }
                }
              });
      Peer origin = stage.peer(Peer.Line::head);
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", full),
          Stage.cache("s-2", stage.fullCache()),
          Stage.origin(origin));
      Peer.Line client = stage.client();
      for (int i = 0; i < 20; i++) {
        client.write(Stage.read("key" + i, "id" + i));
        assertThat(client.read()).isEqualTo("VA 2 Oid" + i);
        assertThat(client.read()).isEqualTo("hi");
      }
      assertThat(origin.heard).isEmpty();
      if (noSlot) {
        assertThat(full.lines).hasSize(1);
      } else {
        assertThat(full.heard).hasSizeGreaterThan(1);
        assertThat(full.open()).isPositive();
      }
    }
  }

  /**
   * HTTP responses carry no id. Guards against serving a duplicate response to the next request on
   * the connection. For other bytes behind a response see {@link ShortContentLengthTest}.
   */
  @Test
  void duplicateOfOriginResponseIsNotServed() throws Exception {
    try (Stage stage = new Stage()) {
      Peer origin =
          stage.peer(
              line -> {
                for (String head; (head = line.head()) != null; ) {
                  String value = head.split("[ /]")[2];
                  String answer =
                      "HTTP/1.1 200 OK\r\nContent-Length: " + value.length() + "\r\n\r\n" + value;
                  line.write(answer + answer);
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      for (int i = 0; i < 20; i++) {
        client.write(Stage.read("key" + i, "id" + i));
        assertThat(client.read()).isEqualTo("VA " + ("key" + i).length() + " Oid" + i);
        assertThat(client.read()).isEqualTo("key" + i);
      }
    }
  }

  @Test
  void bytesBehindCacheNodeResponseOnlyCloseTheConnection() throws Exception {
    try (Stage stage = new Stage()) {
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  String answer = "VA 2 O" + Stage.id(text) + " h1 Lutil=what?\r\nhi\r\n";
                  line.write(answer + answer);
                }
              });
      Peer origin = stage.peer(Peer.Line::head);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin));
      Peer.Line client = stage.client();
      for (int i = 0; i < 10; i++) {
        client.write(Stage.read("a", "id" + i));
        assertThat(client.read()).isEqualTo("VA 2 Oid" + i);
        assertThat(client.read()).isEqualTo("hi");
      }
      assertThat(cache.heard.stream().filter(l -> !l.isEmpty())).hasSize(10);
      Stage.await(() -> cache.open() == 0);
    }
  }

  /**
   * The write has run, whatever the response is: it fails, is not retried, and no part of the
   * response reaches the client.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "a b",
        "a\r\nHD O7 c1",
        "no HTTP",
        "3 GB",
        "no length",
        "another's",
        "no header"
      })
  void malformedReceiptFailsNonIdempotentWriteWithoutRetry(String body) throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger puts = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.bytes(3);
                  puts.incrementAndGet();
                  switch (body) {
                    case "no HTTP" -> line.write("SMTP ready\r\n\r\n");
                    case "3 GB" ->
                        line.write("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc");
                    case "no length" -> line.write("HTTP/1.1 200 OK\r\n\r\nabc");
                    case "no header" -> line.http("200 OK", "no colon here\r\n", "abc");
                    case "another's" -> line.http("200 OK", "Req-Id: 8\r\n", "abc");
                    default -> line.http("200 OK", "", body);
                  }
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.write("a", "7", "pay", "xyz"));
      assertThat(client.read()).isEqualTo("SERVER_ERROR failed");
      assertThat(puts).hasValue(1);
      Stage.await(() -> origin.open() == 0);
    }
  }

  /**
   * Each connection serves one write and is reset at the first byte of the next, like a persistent
   * connection that the server has lost. Such a write was never complete at the server and is
   * retried on a new connection.
   */
  @Test
  void nonIdempotentWriteOnDeadConnectionIsRetried() throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger puts = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                line.head();
                line.bytes(3);
                line.http("200 OK", "", "r" + puts.incrementAndGet());
                line.bytes(1);
                line.socket.setSoLinger(true, 0);
                line.close();
              });
      stage.start(stage.quietDiscovery(), Stage.origin(origin));
      Peer.Line client = stage.client();
      int served = 0;
      for (int i = 0; i < 40; i++) {
        client.write(Stage.write("a", "" + i, "pay", "xyz"));
        String answer = client.read();
        assertThat(answer).isIn("HD O" + i + " cr" + puts.get(), "SERVER_ERROR failed");
        served += answer.startsWith("HD") ? 1 : 0;
        Thread.sleep(5); // past the delay before a connection is reused
      }
      // If the last byte were not delayed, only writes on new connections would be served. A
      // server that is slow to reset may still miss some.
      assertThat(served).isEqualTo(puts.get()).isGreaterThan(25);
    }
  }

  /**
   * Cache nodes may hold values longer than clients may write. Guards against rejecting these as
   * malformed.
   */
  @ParameterizedTest
  @ValueSource(ints = {65_537, 370_000, 1 << 20})
  void longValuesAreServedCompletely(int length) throws Exception {
    try (Stage stage = new Stage()) {
      String value = "0123456789abcdef".repeat(length / 16 + 1).substring(0, length);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  line.write(
                      text.startsWith("mg far")
                          ? "EN O" + Stage.id(text) + "\r\n"
                          : "VA " + length + " O" + Stage.id(text) + " h1\r\n" + value + "\r\n");
                }
              });
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.http("200 OK", "", value);
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin));
      Peer.Line client = stage.client();
      for (String key : List.of("near", "far", "near", "far")) {
        String id = key + cache.heard.size();
        client.write(Stage.read(key, id));
        assertThat(client.read()).isEqualTo("VA " + length + " O" + id);
        assertThat(client.read()).isEqualTo(value);
      }
      assertThat(cache.open()).as("connections that are still open").isEqualTo(cache.lines.size());
      assertThat(origin.open()).isEqualTo(origin.lines.size());
    }
  }

  @Test
  void interimResponsesAreSkipped() throws Exception {
    try (Stage stage = new Stage()) {
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.bytes(3);
                  line.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
                  line.http("200 OK", "Srv-Load: util=???\r\n", "r1");
                }
              });
      stage.start(stage.quietDiscovery(), Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.write("a", "7", "pay", "xyz"));
      assertThat(client.read()).isEqualTo("HD O7 cr1");
    }
  }

  /** Guards against keeping connections to removed servers open until those servers close them. */
  @Test
  void connectionsToRemovedServerAreClosed() throws Exception {
    try (Stage stage = new Stage()) {
      Object gate = new Object();
      boolean[] go = new boolean[1];
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  synchronized (gate) {
                    while (!go[0]) {
                      gate.wait();
                    }
                  }
                  line.write("VA 2 O" + Stage.id(text) + "\r\nhi\r\n");
                }
              });
      Peer other = stage.emptyCache();
      AtomicInteger calls = new AtomicInteger();
      Peer discovery =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  Stage.await(() -> !cache.heard.isEmpty());
                  if (calls.incrementAndGet() > 1) {
                    Thread.sleep(60_000);
                  }
                  line.http("200 OK", "", Stage.list(2, Stage.cache("s-2", other)));
                }
              });
      stage.start(discovery, Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1"));
      Stage.await(() -> calls.get() > 1); // the list that omits the server has been read
      synchronized (gate) {
        go[0] = true;
        gate.notifyAll();
      }
      assertThat(client.read()).isEqualTo("VA 2 O1");
      Stage.await(() -> cache.open() == 0);
    }
  }

  /**
   * Guards against idle connections that use all upstream descriptors, so that requests cannot be
   * sent to servers without a connection.
   */
  @Test
  void idleConnectionsAreClosedForOtherServers() throws Exception {
    try (Stage stage = new Stage()) {
      stage.sockets = 128;
      List<Peer> caches = new ArrayList<>();
      List<String> hosts = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        caches.add(
            stage.peer(
                line -> {
                  for (String text; (text = line.read()) != null; ) {
                    line.write("VA 2 O" + Stage.id(text) + "\r\nhi\r\n");
                  }
                }));
        hosts.add(Stage.cache("s-" + Integer.toHexString(i + 1), caches.get(i)));
      }
      stage.start(stage.quietDiscovery(), hosts.toArray(new String[0]));
      Peer.Line client = stage.client();
      for (int i = 0; i < 400; i++) {
        client.write(Stage.read("key" + i, "id" + i));
        assertThat(client.read()).isEqualTo("VA 2 Oid" + i);
        assertThat(client.read()).isEqualTo("hi");
      }
      assertThat(caches.stream().filter(c -> !c.lines.isEmpty()).count()).isGreaterThan(128 / 3);
      Stage.await(() -> caches.stream().mapToLong(Peer::open).sum() <= 128 / 3);
    }
  }
}
