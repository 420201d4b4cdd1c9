package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.DisconnectReason;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client stops within its next command while an earlier one is open. Guards against closing the
 * connection before the earlier command is answered.
 */
@Timeout(60)
class IncompleteCommandTest {
  private static final int WRITE_GRACE_MS = 300;
  private static final int READ_GRACE_MS = 10_000;

  /** Several times the grace for a command. */
  private static final int SERVER_MS = 1500;

  private static final int LONG_VALUE_BYTES = 280 << 10;

  private static Stage stage() {
    Stage stage = new Stage();
    stage.limits = l -> Stage.narrow(l, WRITE_GRACE_MS, READ_GRACE_MS);
    return stage;
  }

  private static void assertRejectedAndClosed(Stage stage, Peer.Line client) throws Exception {
    assertThat(client.read()).startsWith("CLIENT_ERROR ");
    assertThat(client.read()).isNull();
    assertThat(stage.cuts(DisconnectReason.SLOW_WRITER)).isEqualTo(1);
    Stage.await(() -> stage.held(BufferPurpose.REQUEST_VALUE) == 0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"mg k v Onext", "ms k 9 Onext Pc=pay,t=a,d=8000\r\nxx", "mn"})
  void anOpenWriteIsAnsweredBeforeItsConnectionIsClosed(String incomplete) throws Exception {
    try (Stage stage = stage()) {
      Peer origin =
          stage.peer(
              line -> {
                line.head();
                line.bytes(5);
                Thread.sleep(SERVER_MS);
                line.http("200 OK", "", "r1");
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      client.write(Stage.write("a", "1", "pay", "hello") + incomplete);
      assertThat(client.read()).isEqualTo("HD O1 cr1");
      assertRejectedAndClosed(stage, client);
    }
  }

  @Test
  void aStreamedValueIsCompletedBeforeItsConnectionIsClosed() throws Exception {
    String value = "w".repeat(LONG_VALUE_BYTES);
    try (Stage stage = stage()) {
      Peer cache =
          stage.peer(
              line -> {
                String id = Stage.id(line.read());
                line.write("VA " + LONG_VALUE_BYTES + " O" + id + "\r\n" + value.substring(0, 999));
                Thread.sleep(SERVER_MS);
                line.write(value.substring(999) + "\r\n");
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1") + "mg k v On");
      assertThat(client.read()).isEqualTo("VA " + LONG_VALUE_BYTES + " O1");
      assertThat(client.bytes(LONG_VALUE_BYTES + 2).equals(value + "\r\n")).isTrue();
      assertRejectedAndClosed(stage, client);
    }
  }

  /** The same where connection slots are short while the error of the next command is due. */
  @Test
  void anOpenRequestIsNotEvictedBecauseOfTheInvalidCommandBehindIt() throws Exception {
    try (Stage stage = new Stage()) {
      stage.sockets = 128;
      CountDownLatch answer = new CountDownLatch(1);
      Peer cache =
          stage.peer(
              line -> {
                String text = line.read();
                answer.await();
                Stage.answer(line, text);
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1") + "hello\r\n");
      Stage.await(() -> !cache.heard.isEmpty());
      for (int i = 0; i < 2 * stage.proxy.connectionAdmission().maxConnections(); i++) {
        stage.client();
      }
      Stage.await(() -> stage.cuts(DisconnectReason.NO_VALID_REQUEST) > 0);
      answer.countDown();
      assertThat(client.read()).isEqualTo("VA 2 O1");
    }
  }
}
