package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.BufferPurpose;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Memory that open and unread requests take beside their values and answers. */
@Timeout(60)
class RequestMemoryTest {
  private static final int PIPELINED = 16;

  /** Fewer than the connection slots of 1024 descriptors. */
  private static final int CLIENTS = 580;

  /** Commands of a client that are open in any case, however little memory is free for answers. */
  private static final int MIN_OPEN_PER_CLIENT = 2;

  /** Two copies of a line of the maximum length are kept while its request is open. */
  private static final int BYTES_PER_OPEN_LONG_LINE = 2 * MetaCodec.MAX_LINE_BYTES;

  private static String readWithManyFields(String id) {
    StringBuilder line = new StringBuilder("mg a v O" + id + " Pc=read,t=a,d=8000");
    for (int i = 0; line.length() < MetaCodec.MAX_LINE_BYTES - 10; i++) {
      line.append(",x").append(i).append("=1");
    }
    return line + "\r\n";
  }

  /**
   * Guards against a heap that fills up with the lines of open commands. Those that have no room
   * are refused, and all memory is released.
   */
  @Test
  void linesOfOpenCommandsAreBounded() throws Exception {
    try (Stage stage = new Stage()) {
      stage.sockets = 1024;
      CountDownLatch answer = new CountDownLatch(1);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  answer.await();
                  Stage.answer(line, text);
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      long bound = stage.proxy.dispatcher().accounts().maxBytes(BufferPurpose.REQUEST_VALUE);
      int clientCount = (int) (2 * bound / (MIN_OPEN_PER_CLIENT * BYTES_PER_OPEN_LONG_LINE));
      List<Peer.Line> clients = new ArrayList<>();
      for (int i = 0; i < clientCount; i++) {
        Peer.Line client = stage.client();
        for (int k = 0; k < PIPELINED; k++) {
          client.write(readWithManyFields(i + "x" + k));
        }
        clients.add(client);
      }
      Stage.await(
          () -> stage.held(BufferPurpose.REQUEST_VALUE) > bound - 2 * BYTES_PER_OPEN_LONG_LINE);
      Thread.sleep(200);
      assertThat(stage.mostHeld(BufferPurpose.REQUEST_VALUE)).isLessThanOrEqualTo(bound);
      answer.countDown();
      int refused = 0;
      for (Peer.Line client : clients) {
        for (int k = 0; k < PIPELINED; k++) {
          String line = client.read();
          if (line.startsWith("VA 2 O")) {
            assertThat(client.read()).isEqualTo("hi");
          } else {
            assertThat(line).startsWith("SERVER_ERROR busy");
            refused++;
          }
        }
      }
      assertThat(refused).isPositive();
      Stage.await(() -> stage.held(BufferPurpose.REQUEST_VALUE) == 0);
    }
  }

  /**
   * Guards against clients that have sent more than may be processed, and whose read buffers
   * together take several times the memory limit for input.
   */
  @Test
  void unprocessedInputOfManyClientsIsBounded() throws Exception {
    try (Stage stage = new Stage()) {
      stage.sockets = 1024;
      CountDownLatch answer = new CountDownLatch(1);
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.peer(line -> answer.await())));
      String surplus = Stage.read("k".repeat(200), "next").repeat(200);
      for (int i = 0; i < CLIENTS; i++) {
        StringBuilder commands = new StringBuilder();
        for (int k = 0; k < PIPELINED; k++) {
          commands.append(Stage.read("a", i + "x" + k));
        }
        Peer.Line client = stage.client();
        client.write(commands + surplus);
      }
      Thread.sleep(500);
      long bound = stage.proxy.dispatcher().accounts().maxBytes(BufferPurpose.INPUT);
      assertThat(stage.mostHeld(BufferPurpose.INPUT)).isLessThan(2 * bound);
    }
  }
}
