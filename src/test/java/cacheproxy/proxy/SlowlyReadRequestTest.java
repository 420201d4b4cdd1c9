package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A server that reads a long request more slowly than its client waits for the answer. */
@Timeout(60)
class SlowlyReadRequestTest {
  private static final int DEADLINE_MS = 1000;

  /** How late after the client's time an answer still counts as given. */
  private static final int LATEST_MS = DEADLINE_MS + 500;

  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final String VALUE = "v".repeat(64_000);

  /** Guards against a final answer that waits until the server has read the request. */
  @ParameterizedTest
  @ValueSource(strings = {"read", "pay", "save"})
  void theFinalAnswerComesInTime(String serviceClass) throws Exception {
    try (Stage stage = new Stage()) {
      ServerSocket listener = new ServerSocket();
      listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      Peer origin =
          stage.keep(
              new Peer(
                  listener,
                  line -> {
                    while (line.bytes(100).length() == 100) {
                      Thread.sleep(100);
                    }
                  }));
      stage.start(
          stage.quietDiscovery(), Stage.cache("s-1", stage.emptyCache()), Stage.origin(origin));
      Peer.Line client = stage.client();
      long sent = System.nanoTime();
      client.write(
          Stage.write("a", "1", serviceClass, VALUE).replace("d=8000", "d=" + DEADLINE_MS));
      assertThat(client.read()).startsWith("SERVER_ERROR ");
      assertThat((System.nanoTime() - sent) / 1_000_000).isLessThan(LATEST_MS);
    }
  }
}
