package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.DisconnectReason;
import cacheproxy.limits.ResourcePressure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A client that reads its answers with pauses, beside others that use up the proxy's resources. */
@Timeout(60)
class SlowReaderUnderPressureTest {
  private static final int GRACE_MS = 6000;

  /** Within the grace, and longer than the half of it that pressure once left. */
  private static final int PAUSE_MS = 4000;

  private static final int CROWD_PAUSE_MS = 20;
  private static final int READER_ANSWERS = 4;

  private final Stage stage = new Stage();

  private void start() throws Exception {
    stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
  }

  private Peer.Line readerWithUnreadAnswers() throws Exception {
    Peer.Line reader = stage.narrowClient();
    askForLongValues(reader, "r", READER_ANSWERS);
    assertThat(reader.read()).isEqualTo("VA 65536 Or0");
    return reader;
  }

  private static void askForLongValues(Peer.Line client, String id, int count) throws Exception {
    for (int i = 0; i < count; i++) {
      client.write(Stage.read("long" + i, id + i));
    }
  }

  private void awaitElevatedPressure() throws InterruptedException {
    int pipelined = ResourcePressure.Level.ELEVATED.maxUnreadPipelined();
    Stage.await(() -> stage.proxy.connectionAdmission().maxUnreadPipelined() == pipelined);
  }

  private void assertReadsTheRest(Peer.Line reader) throws Exception {
    assertThat(reader.bytes(Stage.LONG.length())).isEqualTo(Stage.LONG);
    for (int i = 1; i < READER_ANSWERS; i++) {
      assertThat(reader.read()).isEmpty();
      assertThat(reader.read()).isEqualTo("VA 65536 Or" + i);
      assertThat(reader.bytes(Stage.LONG.length())).isEqualTo(Stage.LONG);
    }
    assertThat(stage.cuts(DisconnectReason.SLOW_READER)).isZero();
  }

  /** Guards against an idle crowd in the connection slots that gets a client's answer cut off. */
  @Test
  void idleConnectionsDoNotShortenTheGraceOfAReader() throws Exception {
    try (stage) {
      stage.sockets = 128;
      stage.limits = l -> Stage.narrow(l, 60_000, GRACE_MS);
      start();
      Peer.Line reader = readerWithUnreadAnswers();
      int slots = stage.proxy.connectionAdmission().maxConnections();
      for (int i = 0; i < 2 * slots; i++) {
        stage.client();
      }
      awaitElevatedPressure();
      for (int i = 0; i < PAUSE_MS / CROWD_PAUSE_MS; i++) { // silent ones are soon disconnected
        stage.client();
        Thread.sleep(CROWD_PAUSE_MS);
      }
      assertReadsTheRest(reader);
    }
  }

  /** The same where another client's unread answers take the memory. */
  @Test
  void unreadAnswersOfOthersDoNotShortenTheGraceOfAReader() throws Exception {
    try (stage) {
      stage.limits = l -> Stage.room(Stage.narrow(l, 60_000, GRACE_MS), 1 << 20, 1 << 20);
      start();
      Peer.Line reader = readerWithUnreadAnswers();
      askForLongValues(stage.narrowClient(), "other", 8);
      awaitElevatedPressure();
      Thread.sleep(PAUSE_MS);
      assertReadsTheRest(reader);
    }
  }
}
