package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that close their connection while requests are open or unread. */
@Timeout(60)
class ClientLeavesTest {
  private static final int PIPELINED = 16;
  private static final int UNREAD_WRITES = 6;
  private static final int VALUE_BYTES = 64_000;
  private static final String VALUE = "v".repeat(VALUE_BYTES);

  /** Longer than the time after a close within which an attempt may still begin. */
  private static final int AFTER_CLOSE_MS = 300;

  private static boolean isIdle(Stage stage) {
    return stage
            .proxy
            .loop()
            .submit(() -> stage.proxy.connectionAdmission().clients().size())
            .syncUninterruptibly()
            .getNow()
        == 0;
  }

  /** Guards against a second run of a request whose id comes again after its client has left. */
  @ParameterizedTest
  @ValueSource(strings = {"pay", "save"})
  void anIdThatComesAgainAfterItsClientHasLeftRunsOnce(String serviceClass) throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger writes = new AtomicInteger();
      CountDownLatch answer = new CountDownLatch(1);
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.bytes(3);
                  writes.incrementAndGet();
                  answer.await();
                  line.http("200 OK", "", "r1");
                }
              });
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line first = stage.client();
      first.write(Stage.write("a", "1", serviceClass, "xyz"));
      Stage.await(() -> writes.get() == 1);
      first.close();
      Stage.await(() -> isIdle(stage));
      answer.countDown();
      Peer.Line again = stage.client();
      again.write(Stage.write("a", "1", serviceClass, "xyz"));
      assertThat(again.read()).startsWith("CLIENT_ERROR ");
      assertThat(writes).hasValue(1);
      again.write(Stage.write("a", "2", serviceClass, "xyz"));
      assertThat(again.read()).isEqualTo("HD O2 cr1");
    }
  }

  /** Guards against sending requests that were unread when their client closed its connection. */
  @Test
  void requestsUnreadAtTheCloseAreNotSent() throws Exception {
    try (Stage stage = new Stage()) {
      CountDownLatch answer = new CountDownLatch(1);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  answer.await();
                  Stage.answer(line, text);
                }
              });
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.bytes(VALUE_BYTES);
                  line.http("200 OK", "", "r1");
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin));
      Peer.Line other = stage.client(); // leaves an idle connection to the origin
      other.write(Stage.write("o", "o", "read", VALUE));
      assertThat(other.read()).isEqualTo("HD Oo cr1");
      int heard = origin.heard.size();
      other.close();
      Peer.Line client = stage.client();
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < PIPELINED; i++) {
        commands.append(Stage.read("k" + i, "r" + i));
      }
      for (int i = 0; i < UNREAD_WRITES; i++) {
        commands.append(Stage.write("w" + i, "w" + i, "read", VALUE));
      }
      client.write(commands.toString());
      Stage.await(() -> !cache.heard.isEmpty());
      Thread.sleep(AFTER_CLOSE_MS); // the proxy has read as far as it does
      client.close();
      Thread.sleep(AFTER_CLOSE_MS);
      answer.countDown();
      Stage.await(() -> isIdle(stage));
      assertThat(origin.heard).hasSize(heard);
    }
  }
}
