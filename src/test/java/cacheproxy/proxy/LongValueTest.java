package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.BufferPurpose;
import cacheproxy.limits.StreamingWindow;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Values that are too long to be buffered are streamed: the client gets the complete value, or can
 * tell that it is truncated.
 */
@Timeout(60)
class LongValueTest {
  private static final int BYTES = 3 << 20;

  /** Longer than it takes to start all clients of a test on a busy machine. */
  private static final double READ_GRACE_MS = 20_000;

  /** A value in which all parts differ and that contains line terminators. */
  private static String value(int bytes) {
    StringBuilder text = new StringBuilder(bytes + 16);
    for (int i = 0; text.length() < bytes; i++) {
      text.append(i).append("\r\n");
    }
    return text.substring(0, bytes);
  }

  /** A cache node that sends the line before a value of this length and then runs the script. */
  private static Peer nodeServingValue(Stage stage, int length, Peer.Script then) {
    return stage.peer(
        line -> {
          for (String text; (text = line.read()) != null; ) {
            line.write("VA " + length + " O" + Stage.id(text) + "\r\n");
            then.run(line);
          }
        });
  }

  @ParameterizedTest
  @CsvSource({
    "node, 65537",
    "node, 4194304",
    "origin, 65537",
    "origin, 4194304",
    "closing, 65537",
    "closing, 262144"
  })
  void valueIsStreamedCompletelyAndConnectionIsReused(String from, int bytes) throws Exception {
    String value = value(bytes);
    try (Stage stage = new Stage()) {
      String end =
          from.equals("closing")
              ? "Connection: close\r\n\r\n"
              : "Content-Length: " + bytes + "\r\n\r\n";
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.write("HTTP/1.1 200 OK\r\n" + end + value);
                  if (from.equals("closing")) {
                    line.socket.shutdownOutput();
                  }
                }
              });
      Peer cache =
          from.equals("node")
              ? nodeServingValue(stage, bytes, line -> line.write(value + "\r\n"))
              : stage.emptyCache();
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.origin(origin));
      Peer.Line client = stage.client();
      for (int i = 0; i < 2; i++) {
        client.write(Stage.read("a" + i, "x" + i));
        assertThat(client.read()).isEqualTo("VA " + bytes + " Ox" + i);
        assertThat(client.bytes(bytes + 2).equals(value + "\r\n")).isTrue();
      }
      Stage.await(() -> stage.held(BufferPurpose.STREAMING) == 0);
    }
  }

  /**
   * More values are streamed than fit into memory, to clients that do not read. The bytes reserved
   * for streaming stay within their bound.
   */
  @Test
  void slowClientsStopReadingFromTheirServers() throws Exception {
    String value = value(BYTES);
    try (Stage stage = new Stage()) {
      stage.memoryMb = 96;
      stage.limits = l -> Stage.withReadGrace(l, READ_GRACE_MS);
      Peer cache =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  line.write("VA " + BYTES + " O" + Stage.id(text) + "\r\n" + value + "\r\n");
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.cache("s-2", cache));
      List<Peer.Line> clients = new ArrayList<>();
      for (int i = 0; i < 16; i++) {
        Peer.Line client = stage.narrowClient();
        client.write(Stage.read("k" + i, "x" + i));
        assertThat(client.read()).isEqualTo("VA " + BYTES + " Ox" + i);
        clients.add(client);
      }
      for (int i = 0; i < 16; i++) {
        assertThat(clients.get(i).bytes(BYTES + 2).equals(value + "\r\n"))
            .as("client " + i)
            .isTrue();
      }
      assertThat(stage.mostHeld(BufferPurpose.STREAMING))
          .isLessThan(16L * 3 * StreamingWindow.MIN_WINDOW_BYTES);
      Stage.await(() -> stage.held(BufferPurpose.STREAMING) == 0);
    }
  }

  /**
   * The server closes the connection within the value, or the line terminator behind the value is
   * missing. The client's connection is closed before the value is complete.
   */
  @ParameterizedTest
  @ValueSource(strings = {"breaks", "no end"})
  void truncatedStreamClosesTheClientConnection(String fault) throws Exception {
    String value = value(BYTES);
    try (Stage stage = new Stage()) {
      Peer cache =
          nodeServingValue(
              stage,
              BYTES,
              line -> {
                line.write(fault.equals("breaks") ? value.substring(0, BYTES / 2) : value + "no");
                if (fault.equals("breaks")) {
                  line.close();
                }
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache), Stage.cache("s-2", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1"));
      assertThat(client.read()).isEqualTo("VA " + BYTES + " O1");
      assertThat(client.bytes(BYTES + 2).length()).isLessThan(BYTES);
      assertThat(cache.heard).as("no second attempt").hasSize(1);
      Stage.await(() -> stage.held(BufferPurpose.STREAMING) == 0);
    }
  }

  /** The value continues after the request's deadline has passed. */
  @Test
  void stalledStreamMayOutlastTheDeadline() throws Exception {
    try (Stage stage = new Stage()) {
      CountDownLatch go = new CountDownLatch(1);
      Peer cache =
          nodeServingValue(
              stage,
              BYTES,
              line -> {
                line.write(value(BYTES).substring(0, 100_000));
                go.await();
                line.write(value(BYTES).substring(100_000) + "\r\n");
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      // The deadline is long enough for the first bytes to arrive in time on a slow machine.
      client.write("mg a v O1 Pc=read,t=a,d=2000\r\n");
      assertThat(client.read()).isEqualTo("VA " + BYTES + " O1");
      assertThat(client.bytes(90_000)).isEqualTo(value(BYTES).substring(0, 90_000));
      Thread.sleep(2200); // past the deadline; the stream must not be ended by it
      go.countDown();
      assertThat(client.bytes(BYTES - 90_000 + 2).equals(value(BYTES).substring(90_000) + "\r\n"))
          .isTrue();
    }
  }

  /**
   * When the client disconnects, the proxy ends the stream and releases its memory and connection.
   */
  @Test
  void disconnectOfClientEndsItsStream() throws Exception {
    try (Stage stage = new Stage()) {
      Peer cache =
          nodeServingValue(
              stage,
              BYTES,
              line -> {
                line.write(value(BYTES).substring(0, 200_000));
                line.read(); // returns when the proxy closes the connection
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write(Stage.read("a", "1"));
      assertThat(client.read()).startsWith("VA ");
      client.close();
      Stage.await(() -> stage.held(BufferPurpose.STREAMING) == 0);
      Stage.await(
          () ->
              stage
                      .proxy
                      .loop()
                      .submit(stage.proxy.dispatcher()::upstreamDescriptors)
                      .syncUninterruptibly()
                      .getNow()
                  == 0);
    }
  }

  /**
   * Guards against a process that ends after SIGTERM while a server still writes a long value, and
   * so cuts it off.
   */
  @Test
  void streamIsCompletedDuringDrain() throws Exception {
    try (Stage stage = new Stage()) {
      stage.change = config -> config.replace("\"deadline\":10000", "\"deadline\":500");
      Peer cache =
          nodeServingValue(
              stage,
              BYTES,
              line -> {
                line.write(value(BYTES).substring(0, 100_000));
                Thread.sleep(3000); // longer than the drain of a process without streams
                line.write(value(BYTES).substring(100_000) + "\r\n");
              });
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", cache));
      Peer.Line client = stage.client();
      client.write("mg a v O1 Pc=read,t=a,d=500\r\n");
      assertThat(client.read()).isEqualTo("VA " + BYTES + " O1");
      CompletableFuture<Void> end =
          CompletableFuture.runAsync(
              () -> {
                stage.proxy.drain(); // returns when the process would end
                closeProxy(stage);
              });
      assertThat(client.bytes(BYTES + 2).equals(value(BYTES) + "\r\n")).isTrue();
      end.join();
    }
  }

  private static void closeProxy(Stage stage) {
    try {
      stage.proxy.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
