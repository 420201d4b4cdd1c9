package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An upgrade: an old and a new process of one proxy listen at the same address. */
class TakeoverTest {
  /** Enough for one of them to come again at the other process. */
  private static final int CONNECTIONS_TO_BOTH = 12;

  @TempDir Path folder;

  @Test
  void losesNoRequestOnAnUpgradeAndKeepsNodesEjected() throws Exception {
    try (Stage stage = new Stage()) {
      Peer ejected = stage.fullCache();
      Peer used = stage.fullCache();
      String config =
          stage.config(
              stage.quietDiscovery().address(),
              Stage.cache("s-1", ejected),
              Stage.cache("s-2", used));
      int oldControl = freePort();
      Program old =
          stage.keep(
              new Program(folder, withControl(config, oldControl), 0, "cacheproxy.Main", "serve"));
      Peer.Line client = stage.keep(old.connect());
      Stage.serves(client, "1");
      Stage.await(() -> ready(oldControl));
      assertThat(OperatorCallsTest.call(oldControl, "PUT /ops/cache-nodes/down", "s-1"))
          .startsWith("200");
      int heardBefore = ejected.heard.size();

      int nextControl = freePort();
      Program next =
          stage.keep(
              new Program(
                  folder, old.port, withControl(config, nextControl), "cacheproxy.Main", "serve"));
      Stage.await(() -> ready(nextControl));
      old.signal("TERM");
      // Each request uses a new connection while the old process closes its listener. The kernel
      // resets a connection that arrives between the last accept and the close, which are
      // microseconds apart: at most one.
      int resets = 0;
      for (int i = 0; old.process.isAlive(); i++) {
        try (Peer.Line caller = OperatorCallsTest.line(old.port)) {
          caller.write(Stage.read("a", "n" + i));
          String answer = caller.read();
          resets += answer == null ? 1 : 0;
          assertThat(answer == null ? null : answer + caller.read())
              .isIn(null, "VA 2 On" + i + "hi");
        } catch (SocketException e) { // reset before the request was written
          resets++;
        }
      }
      assertThat(resets).isLessThanOrEqualTo(1);
      assertThat(client.read()).as("ended between requests").isNull();
      try (Peer.Line caller = OperatorCallsTest.line(old.port)) {
        for (int i = 0; i < 40; i++) {
          caller.write(Stage.read(Integer.toHexString(i * 7919 + 1), "m" + i));
          assertThat(caller.read()).isEqualTo("VA 2 Om" + i);
          caller.read();
        }
      }
      assertThat(next.process.isAlive()).isTrue();
      assertThat(ejected.heard).hasSize(heardBefore);
      assertThat(OperatorCallsTest.call(nextControl, "PUT /ops/cache-nodes/up", "s-1"))
          .startsWith("200");
    }
  }

  /**
   * Guards against a second run of a request whose id comes again at the other process, after its
   * client has left the first one.
   */
  @Test
  void anIdOfTheOldProcessDoesNotRunAgainAtTheNewOne() throws Exception {
    try (Stage stage = new Stage()) {
      AtomicInteger writes = new AtomicInteger();
      Peer origin =
          stage.peer(
              line -> {
                while (line.head() != null) {
                  line.bytes(3);
                  writes.incrementAndGet();
                  Thread.sleep(200);
                  line.http("200 OK", "", "r1");
                }
              });
      String config =
          stage.config(
              stage.quietDiscovery().address(),
              Stage.cache("s-1", stage.emptyCache()),
              Stage.origin(origin));
      int oldControl = freePort();
      Program old =
          stage.keep(
              new Program(folder, withControl(config, oldControl), 0, "cacheproxy.Main", "serve"));
      Stage.await(() -> ready(oldControl));
      int nextControl = freePort();
      stage.keep(
          new Program(
              folder, old.port, withControl(config, nextControl), "cacheproxy.Main", "serve"));
      Stage.await(() -> ready(nextControl));
      // The kernel deals new connections out to both processes.
      for (int i = 0; i < CONNECTIONS_TO_BOTH; i++) {
        try (Peer.Line first = OperatorCallsTest.line(old.port)) {
          int before = writes.get();
          first.write(Stage.write("a", "w" + i, "pay", "xyz"));
          Stage.await(() -> writes.get() > before);
        }
        try (Peer.Line again = OperatorCallsTest.line(old.port)) {
          again.write(Stage.write("a", "w" + i, "pay", "xyz"));
          assertThat(again.read()).startsWith("CLIENT_ERROR ");
        }
      }
      assertThat(writes).hasValue(CONNECTIONS_TO_BOTH);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return free.getLocalPort();
    }
  }

  private static String withControl(String config, int control) {
    return config.replaceFirst(
        "\"listen\"", "\"control\":\"127.0.0.1:" + control + "\",\"listen\"");
  }

  private static boolean ready(int control) {
    try {
      return OperatorCallsTest.call(control, "GET /ops/readiness", "").startsWith("200");
    } catch (IOException | RuntimeException e) {
      return false; // not listening yet
    }
  }
}
