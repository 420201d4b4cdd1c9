package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses of the origin that arrive on a connection when another request uses it. */
@Timeout(60)
class LateOriginResponseTest {
  private static final int ROUNDS = 20;

  /** What a proxy opens to the origin where there are a hundred. */
  private static final int MAX_CONNECTIONS_OF_MANY_PROXIES = 4;

  /** A duplicate comes some milliseconds after its response. */
  private static final int DUPLICATE_DELAY_MS = 12;

  private static final int NEXT_REQUEST_DELAY_MS = 9;

  private static String path(String head) {
    return head.split(" ")[1].substring(1);
  }

  /** Guards against a late duplicate of a response that is taken for that of the next request. */
  @Test
  void lateDuplicateIsNotServedToTheNextRequest() throws Exception {
    try (Stage stage = new Stage()) {
      Peer origin =
          stage.peer(
              line -> {
                for (String head; (head = line.head()) != null; ) {
                  line.http("200 OK", "", path(head));
                  Thread.sleep(DUPLICATE_DELAY_MS);
                  line.http("200 OK", "", path(head));
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      for (int i = 0; i < ROUNDS; i++) {
        Stage.serves(client, "a" + i, "key-a" + i);
        Thread.sleep(NEXT_REQUEST_DELAY_MS);
        Stage.serves(client, "b" + i, "key-b" + i);
      }
    }
  }

  /**
   * Guards against a response that is taken for that of a write whose last byte has not been sent:
   * the write would be reported as stored and never be carried out.
   */
  @Test
  void responseBeforeTheLastByteOfAWriteIsNotItsReceipt() throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger writes = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  if (writes.incrementAndGet() == 1) {
                    line.http("200 OK", "", "foreign");
                  }
                  line.bytes(3);
                  line.http("200 OK", "", "own");
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.write("a", "1", "pay", "xyz"));
      assertThat(client.read()).isEqualTo("HD O1 cown");
      assertThat(writes).hasValue(2);
    }
  }

  /** Guards against failing requests because all connections to the origin have just been used. */
  @Test
  void requestsWaitUntilAConnectionMayBeUsedAgain() throws Exception {
    try (Stage stage = new Stage()) {
      stage.change = config -> config.replace("\"balancers\":2", "\"balancers\":100");
      Peer origin =
          stage.peer(
              line -> {
                for (String head; (head = line.head()) != null; ) {
                  line.http("200 OK", "", path(head));
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      for (int i = 0; i < ROUNDS; i++) {
        Stage.serves(client, "r" + i, "key-" + i);
      }
      assertThat(origin.lines).hasSizeLessThanOrEqualTo(MAX_CONNECTIONS_OF_MANY_PROXIES);
    }
  }
}
