package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.DisconnectReason;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Requests that the kernel has received, but that the event loop has not read when their connection
 * is due to be closed. The loop is blocked within an iteration, after it has selected, so that
 * input that arrives meanwhile is still unread when the timers of that iteration run.
 */
@Timeout(60)
class UnreadInputTest {
  /** Longer than the time granted to a silent client when the loop is this late. */
  private static final long LOOP_BLOCK_MS = 900;

  private final HeldLoop heldLoop = new HeldLoop();
  private final Stage stage = new Stage();

  @BeforeEach
  void useHeldLoop() {
    stage.allocator = heldLoop;
  }

  private void startProxy() throws Exception {
    stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
  }

  private int clientCount() {
    return stage
        .proxy
        .loop()
        .submit(() -> stage.proxy.connectionAdmission().clients().size())
        .syncUninterruptibly()
        .getNow();
  }

  /** Blocks the event loop in the iteration that reads this text from the client. */
  private void blockLoopWith(Peer.Line line, String text) throws Exception {
    heldLoop.arm();
    line.write(text);
    heldLoop.awaitHeld();
  }

  @Test
  void unreadFirstRequestIsServedAndSilentClientDisconnected() throws Exception {
    try (stage) {
      startProxy();
      Peer.Line other = stage.client();
      Peer.Line late = stage.client();
      Peer.Line silent = stage.client();
      Stage.await(() -> clientCount() == 3);
      blockLoopWith(other, Stage.read("a", "o1"));
      late.write(Stage.read("a", "l1"));
      Thread.sleep(LOOP_BLOCK_MS);
      heldLoop.release();
      assertThat(late.read()).isEqualTo("VA 2 Ol1");
      assertThat(silent.read()).isNull();
      assertThat(stage.cuts(DisconnectReason.SILENT)).isEqualTo(1);
    }
  }

  @Test
  void unreadRestOfCommandPreventsDisconnect() throws Exception {
    try (stage) {
      startProxy();
      String command = Stage.read("a", "l1");
      Peer.Line other = stage.client();
      Peer.Line late = stage.client();
      Peer.Line slow = stage.client();
      late.write(command.substring(0, 9));
      slow.write(command.substring(0, 9));
      Stage.await(
          () ->
              stage
                      .proxy
                      .loop()
                      .submit(
                          () ->
                              stage.proxy.connectionAdmission().clients().stream()
                                  .filter(ClientConnection::isBusy)
                                  .count())
                      .syncUninterruptibly()
                      .getNow()
                  == 2);
      blockLoopWith(other, Stage.read("a", "o1"));
      late.write(command.substring(9));
      Thread.sleep(LOOP_BLOCK_MS);
      heldLoop.release();
      assertThat(late.read()).isEqualTo("VA 2 Ol1");
      assertThat(slow.read()).isNull();
      assertThat(stage.cuts(DisconnectReason.SLOW_WRITER)).isEqualTo(1);
    }
  }

  /**
   * Makes the proxy penalise the test's second address for malformed commands: later errors of it
   * are delayed by the longest backoff.
   */
  private void penaliseAddress() throws Exception {
    List<Peer.Line> bad = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      bad.add(stage.clientFrom("127.0.0.9"));
      bad.get(i).write("hello\r\n");
    }
    for (Peer.Line line : bad) {
      assertThat(line.read()).isEqualTo("ERROR");
      line.close();
    }
    Stage.await(() -> clientCount() == 0);
  }

  /**
   * A connection of a penalised address is not evicted over its request when the client slots run
   * out.
   */
  @Test
  void requestOfPenalisedAddressIsReadBeforeEviction() throws Exception {
    try (stage) {
      stage.sockets = 128;
      startProxy();
      int spare = stage.proxy.connectionAdmission().maxConnections() / 8;
      penaliseAddress();
      Peer.Line late = stage.clientFrom("127.0.0.9");
      late.write(Stage.read("a", "l1"));
      for (int i = 0; i < stage.proxy.connectionAdmission().maxConnections() - spare; i++) {
        Stage.serves(stage.client(), "f" + i);
      }
      assertThat(late.read()).isEqualTo("VA 2 Ol1");
      assertThat(stage.cuts(DisconnectReason.BACKED_OFF)).isPositive();
    }
  }

  /**
   * Guards against closing a connection of a penalised address as idle in a drain while a request
   * of it is unread.
   */
  @Test
  void requestOfPenalisedAddressIsAnsweredDuringDrain() throws Exception {
    try (stage) {
      startProxy();
      penaliseAddress();
      Peer.Line late = stage.clientFrom("127.0.0.9");
      late.write(Stage.read("a", "l1"));
      Stage.await(() -> clientCount() == 1);
      Thread end = new Thread(stage.proxy::drain);
      end.start();
      assertThat(late.read()).isEqualTo("VA 2 Ol1");
      assertThat(late.read()).isEqualTo("hi");
      assertThat(late.read()).isNull();
      end.join();
    }
  }

  @Test
  void nextRequestOnConnectionIsAnsweredDuringDrain() throws Exception {
    try (stage) {
      CountDownLatch answers = new CountDownLatch(1);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  answers.await();
                  Stage.answer(line, text);
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1"));
      Stage.await(() -> cache.heard.size() == 1);
      stage
          .proxy
          .loop()
          .submit(() -> stage.proxy.dispatcher().drain(stage.proxy.dispatcher().now(), 0))
          .sync();
      heldLoop.arm();
      answers.countDown();
      heldLoop.awaitHeld();
      client.write(Stage.read("a", "2"));
      heldLoop.release();
      assertThat(client.read()).isEqualTo("VA 2 O1");
      assertThat(client.read()).isEqualTo("hi");
      assertThat(client.read()).isEqualTo("VA 2 O2");
      assertThat(client.read()).isEqualTo("hi");
      assertThat(client.read()).isNull();
    }
  }
}
