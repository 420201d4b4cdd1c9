package cacheproxy.proxy;

import static cacheproxy.proxy.CrossingsTest.keyOf;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Responses without an id, which a connection matches to its requests by their position alone. A
 * node that drops a request without a response shifts all positions behind it.
 */
class PositionalResponseTest {
  private static final String FAILED = "SERVER_ERROR failed\r\n";
  private static final int DUPLICATE_DELAY_MS = 8;

  /** After this time a connection is used again, for any request. */
  private static final int REUSE_DELAY_MS = 50;

  private static final String BUSY = "SERVER_ERROR busy\r\n";

  /**
   * With ten proxies in the tier, each opens one connection to a cache node. Idempotency keys are
   * detected within a cell.
   */
  private static Stage stageWithOneConnectionPerNode() {
    Stage stage = new Stage();
    stage.change =
        config ->
            config
                .replace("\"balancers\":2", "\"balancers\":10")
                .replace("\"group\":\"all\"", "\"group\":\"cell\"");
    return stage;
  }

  private static String read(String key, String id, String serviceClass) {
    return Stage.read(key, id)
        .replace("c=read", "c=" + serviceClass)
        .replace("d=8000", "k=1,d=8000");
  }

  /**
   * Guards against a second run of an unsafe request because the rejection of another one was taken
   * for its own. The node drops the first request, runs the second and rejects the third. An
   * idempotency key protects only within its cell.
   */
  @ParameterizedTest
  @ValueSource(strings = {"pay", "save"})
  void rejectionBehindADroppedRequestDoesNotPermitARetry(String serviceClass) throws Exception {
    Stage stage = stageWithOneConnectionPerNode();
    try (stage) {
      Peer shifted =
          stage.peer(
              line -> {
                line.read(); // dropped
                line.read(); // runs and fails, below
                line.read();
                line.write(FAILED + BUSY);
                for (String text; (text = line.read()) != null; ) {
                  Stage.answer(line, text);
                }
              });
      Peer other = stage.fullCache();
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", shifted),
          Stage.host("s-2", "cache", other, "up").replace("\"block\":0", "\"block\":1"),
          Stage.origin(stage.peer(Peer.Line::head)));
      Peer.Line dropped = stage.client();
      dropped.write(read(keyOf("s-1", 0), "dropped", "pay"));
      Stage.await(() -> shifted.heard.size() == 1);
      Peer.Line client = stage.client();
      client.write(read(keyOf("s-1", 1), "runs", serviceClass));
      Stage.await(() -> shifted.heard.size() == 2);
      Peer.Line rejected = stage.client();
      rejected.write(read(keyOf("s-1", 2), "rejected", "read"));
      assertThat(client.read()).isIn("SERVER_ERROR failed", "VA 2 Oruns");
      assertThat(dropped.read()).isEqualTo("SERVER_ERROR failed");
      assertThat(other.heard).noneMatch(text -> text.contains(" Oruns "));
      assertThat(shifted.lines).hasSize(1);
      assertThat(stage.ambiguousRejections()).isEqualTo(1);
    }
  }

  /**
   * Guards against a second run of an unsafe request because a late duplicate of the rejection
   * before it was taken for its own.
   */
  @ParameterizedTest
  @ValueSource(strings = {"pay", "save"})
  void duplicateOfARejectionDoesNotPermitARetry(String serviceClass) throws Exception {
    Stage stage = stageWithOneConnectionPerNode();
    try (stage) {
      Peer duplicating =
          stage.peer(
              line -> {
                Stage.answer(line, line.read());
                line.read(); // rejected
                String runs = line.read();
                line.write(BUSY);
                Thread.sleep(DUPLICATE_DELAY_MS);
                line.write(BUSY);
                Thread.sleep(DUPLICATE_DELAY_MS);
                Stage.answer(line, runs);
                line.read();
              });
      Peer other = stage.fullCache();
      stage.start(
          stage.quietDiscovery(),
          Stage.cache("s-1", duplicating),
          Stage.host("s-2", "cache", other, "up").replace("\"block\":0", "\"block\":1"),
          Stage.origin(stage.peer(Peer.Line::head)));
      Peer.Line rejected = stage.client();
      rejected.write(read(keyOf("s-1", 0), "first", "read"));
      assertThat(rejected.read()).isEqualTo("VA 2 Ofirst");
      assertThat(rejected.read()).isEqualTo("hi");
      Thread.sleep(REUSE_DELAY_MS);
      rejected.write(read(keyOf("s-1", 0), "rejected", "read"));
      Stage.await(() -> duplicating.heard.size() == 2);
      Thread.sleep(REUSE_DELAY_MS);
      Peer.Line client = stage.client();
      client.write(read(keyOf("s-1", 1), "runs", serviceClass));
      assertThat(client.read()).isIn("SERVER_ERROR failed", "VA 2 Oruns");
      assertThat(other.heard).noneMatch(text -> text.contains(" Oruns "));
      assertThat(duplicating.lines).hasSize(1);
      assertThat(stage.ambiguousRejections()).isEqualTo(1);
    }
  }
}
