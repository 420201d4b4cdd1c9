package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.DisconnectReason;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * More answers are open than memory holds, and each client reads its own steadily, above the
 * minimum rate. Guards against disconnecting such a client in a pause between two pieces.
 */
@Timeout(60)
class SteadyReadersTest {
  private static final int CLIENTS = 12;
  private static final int ANSWERS = 8;
  private static final int ANSWER_BYTES_IN_MEMORY = 600_000;
  private static final int READ_GRACE_MS = 3000;
  private static final int SHORT_ANSWERS = 12;

  /** All short answers together take longer than the grace. */
  private static final int SHORT_ANSWER_PAUSE_MS = 400;

  private static final int SHORT_READ_GRACE_MS = 800;

  /** More than the buffers of the sockets hold. */
  private static final int STEADY_ANSWERS = 14;

  /** At this pause a client reads ten times as fast as the minimum rate. */
  private static final int STEADY_PAUSE_MS = 400;

  /** More than all answers that can be on their way from the server. */
  private static final int READING_BYTES = 16 << 20;

  /** Later clients find the memory in use by those that pause. */
  private static final int START_INTERVAL_MS = 50;

  private static void readAll(Stage stage, int number, String serviceClass, int pauseMs)
      throws Exception {
    Peer.Line client = stage.narrowClient();
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < ANSWERS; i++) {
      commands.append(
          Stage.read("long" + i, number + "x" + i).replace("c=read", "c=" + serviceClass));
    }
    client.write(commands.toString());
    for (int i = 0; i < ANSWERS; i++) {
      String line = client.read();
      if (line != null && line.startsWith("VA ")) {
        assertThat(line).isEqualTo("VA 65536 O" + number + "x" + i);
        Thread.sleep(pauseMs);
        assertThat(client.bytes(Stage.LONG.length()).equals(Stage.LONG)).as("whole value").isTrue();
        assertThat(client.read()).isEmpty();
      } else {
        assertThat(line).as("answer %d of client %d", i, number).startsWith("SERVER_ERROR ");
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"read 400", "pay 400", "read 1200"})
  void everyRequestOfASteadyReaderIsAnswered(String clients) throws Exception {
    String serviceClass = clients.split(" ")[0];
    int pauseMs = Integer.parseInt(clients.split(" ")[1]);
    try (Stage stage = new Stage()) {
      stage.limits =
          l -> Stage.room(Stage.narrow(l, 60_000, READ_GRACE_MS), 1 << 20, ANSWER_BYTES_IN_MEMORY);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      readByAllClients(stage, serviceClass, pauseMs);
      assertThat(stage.cuts(DisconnectReason.UNFAIR_SHARE)).isZero();
      assertThat(stage.cuts(DisconnectReason.SLOW_READER)).isZero();
    }
  }

  /**
   * Guards against fetching answers only to refuse them. A client that meets a row of short
   * refusals would fall below the minimum rate, though it reads steadily.
   */
  @Test
  void commandsWaitUnreadWhereTheirAnswersWouldNotFit() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits =
          l ->
              Stage.room(
                  Stage.narrow(l, 60_000, READ_GRACE_MS),
                  READING_BYTES,
                  3L * CLIENTS * Stage.LONG.length());
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line first = stage.client();
      first.write(Stage.read("long", "first"));
      assertThat(first.read()).isEqualTo("VA 65536 Ofirst");
      assertThat(first.bytes(Stage.LONG.length())).hasSize(Stage.LONG.length());
      readByAllClients(stage, "read", 100);
      assertThat(stage.cuts(DisconnectReason.NO_CAPACITY)).isZero();
    }
  }

  /**
   * Guards against disconnecting a client that takes one answer in a time, where several short ones
   * in a row are short of the minimum rate in bytes.
   */
  @Test
  void shortAnswersInARowDoNotMakeASteadyReaderTooSlow() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.narrow(l, 60_000, READ_GRACE_MS);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line client = stage.narrowClient();
      StringBuilder commands = new StringBuilder(Stage.read("long", "before"));
      for (int i = 0; i < SHORT_ANSWERS; i++) {
        commands.append(Stage.read("short", "s" + i));
      }
      client.write(commands + Stage.read("long", "after"));
      assertThat(client.read()).isEqualTo("VA 65536 Obefore");
      assertThat(client.bytes(Stage.LONG.length())).isEqualTo(Stage.LONG);
      assertThat(client.read()).isEmpty();
      for (int i = 0; i < SHORT_ANSWERS; i++) {
        Thread.sleep(SHORT_ANSWER_PAUSE_MS);
        assertThat(client.read()).isEqualTo("VA 2 Os" + i);
        assertThat(client.read()).isEqualTo("hi");
      }
      assertThat(client.read()).isEqualTo("VA 65536 Oafter");
      assertThat(client.bytes(Stage.LONG.length())).isEqualTo(Stage.LONG);
    }
  }

  /**
   * Guards against disconnecting a client that reads evenly because the buffers of the sockets pass
   * that on in large steps, of which one takes longer than the grace.
   */
  @Test
  void stepsOfTheSocketBuffersDoNotMakeASteadyReaderTooSlow() throws Exception {
    try (Stage stage = new Stage()) {
      stage.limits = l -> Stage.withReadGrace(l, SHORT_READ_GRACE_MS);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line client = stage.client();
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < STEADY_ANSWERS; i++) {
        commands.append(Stage.read("long" + i, "s" + i));
      }
      client.write(commands.toString());
      for (int i = 0; i < STEADY_ANSWERS; i++) {
        Thread.sleep(STEADY_PAUSE_MS);
        assertThat(client.read()).isEqualTo("VA 65536 Os" + i);
        assertThat(client.bytes(Stage.LONG.length())).isEqualTo(Stage.LONG);
        assertThat(client.read()).isEmpty();
      }
      assertThat(stage.cuts(DisconnectReason.SLOW_READER)).isZero();
    }
  }

  private static void readByAllClients(Stage stage, String serviceClass, int pauseMs)
      throws InterruptedException {
    List<CompletableFuture<Void>> readers = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      readers.add(
          CompletableFuture.runAsync(
              () -> {
                try {
                  readAll(stage, number, serviceClass, pauseMs);
                } catch (Exception e) {
                  throw new CompletionException(e);
                }
              },
              task -> new Thread(task).start()));
      Thread.sleep(START_INTERVAL_MS);
    }
    for (CompletableFuture<Void> reader : readers) {
      reader.join();
    }
  }
}
