package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A proxy process under many connections and slow peers, with few descriptors, little memory and
 * signals.
 */
@Timeout(120)
class CrowdTest {
  /** JVM options that deploy/serve.sh uses for 32 MB. */
  private static final String SMALL_JVM_OPTIONS =
      "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms10m -Xmx10m"
          + " -XX:MaxDirectMemorySize=4m -XX:MaxMetaspaceSize=20m -XX:ReservedCodeCacheSize=8m -Xss512k"
          + " -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numHeapArenas=1"
          + " -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.maxOrder=4";

  @TempDir Path folder;

  private static SocketChannel connect(Stage stage, int port, String text) throws IOException {
    SocketChannel c = stage.keep(SocketChannel.open());
    c.setOption(java.net.StandardSocketOptions.SO_RCVBUF, 4 << 10);
    c.connect(new InetSocketAddress("127.0.0.1", port));
    try {
      c.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    } catch (IOException e) {
      // the proxy has closed the connection already
    }
    return c;
  }

  /**
   * Opens connections that alternately send a part of a value, or request sixteen long answers and
   * read none.
   */
  private static void slowPeers(Stage stage, int port, int n) throws IOException {
    for (int i = 0; i < n; i++) {
      StringBuilder text = new StringBuilder();
      if (i % 2 == 0) {
        text.append("ms a 60000 Osl").append(i).append(" Pc=pay,t=a,d=8000,k=1\r\nxxx");
      } else {
        for (int k = 0; k < 16; k++) {
          text.append(Stage.read("long" + k, "sl" + i + "-" + k));
        }
      }
      connect(stage, port, text.toString());
    }
  }

  /**
   * Thousands of clients that stay silent, send one request and stay, or send invalid input and
   * reconnect must not keep regular clients from being served.
   */
  @Test
  void regularClientsAreServedBesideThousandsOfOthers() throws Exception {
    try (Stage stage = new Stage()) {
      String config =
          stage.config(stage.quietDiscovery().address(), Stage.cache("s-1", stage.fullCache()));
      Program program =
          stage.keep(new Program(folder, config, 256, "-Xmx48m cacheproxy.Main", "serve"));
      Peer.Line usual = stage.keep(program.connect("127.0.0.7"));
      Stage.serves(usual, "u");
      int most = 0;
      List<Double> waits = new ArrayList<>();
      for (int i = 0; i < 3000; i++) {
        switch (i % 3) {
          case 0 -> connect(stage, program.port, "");
          case 1 -> connect(stage, program.port, Stage.read("a", "once" + i));
          default -> connect(stage, program.port, "nonsense\r\n").close();
        }
        if (i % 100 == 99) {
          long asked = System.nanoTime();
          Stage.serves(stage.keep(program.connect("127.0.0.7")), "new" + i);
          waits.add((System.nanoTime() - asked) / 1e6);
          most = Math.max(most, program.descriptors());
        }
      }
      Stage.serves(stage.keep(program.connect("127.0.0.7")), "last");
      assertThat(waits.stream().sorted().toList().get(waits.size() / 2))
          .isLessThan(500); // less than silent connections wait until they are disconnected
      assertThat(most).isLessThan(256);
      assertThat(program.log())
          .noneMatch(l -> l.contains("fault") || l.contains("could not be taken"));
    }
  }

  /**
   * A slow client above the minimum rate must receive all its answers although SIGTERM arrives
   * before it has read them.
   */
  @Test
  void sigtermLetsASlowClientReadItsAnswers() throws Exception {
    try (Stage stage = new Stage()) {
      String config =
          stage.config(stage.quietDiscovery().address(), Stage.cache("s-1", stage.fullCache()));
      Program program =
          stage.keep(new Program(folder, config, 256, "-Xmx48m cacheproxy.Main", "serve"));
      Stage.serves(stage.keep(program.connect()), "u");
      StringBuilder text = new StringBuilder();
      for (int k = 0; k < 16; k++) {
        text.append(Stage.read("long" + k, "w" + k));
      }
      SocketChannel slow = connect(stage, program.port, text.toString());
      Thread.sleep(300); // until the proxy buffers the answers that exceed the socket buffers
      program.signal("TERM");
      Thread.sleep(700); // until the proxy has stopped accepting connections and closes idle ones
      long got = 0;
      ByteBuffer some = ByteBuffer.allocate(64 << 10);
      for (int n; (n = slow.read(some)) >= 0; some.clear()) {
        got += n;
      }
      long heads = 0;
      for (int k = 0; k < 16; k++) {
        heads += ("VA 65536 Ow" + k + "\r\n\r\n").length();
      }
      assertThat(got).isEqualTo(16L * Stage.LONG.length() + heads);
      assertThat(program.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  /**
   * A proxy with 32 MB and 256 descriptors serves regular clients while slow peers hold many of its
   * connection slots.
   */
  @Test
  void aSmallProxyStaysWithinItsMemoryAndServesBesideSlowPeers() throws Exception {
    try (Stage stage = new Stage()) {
      stage.memoryMb = 32;
      String config =
          stage.config(stage.quietDiscovery().address(), Stage.cache("s-1", stage.fullCache()));
      Program program =
          stage.keep(
              new Program(folder, config, 256, SMALL_JVM_OPTIONS, "cacheproxy.Main", "serve"));
      Peer.Line usual = stage.keep(program.connect());
      Stage.serves(usual, "u");
      for (int round = 0; round < 3; round++) {
        slowPeers(stage, program.port, 50);
        for (int i = 0; i < 50; i++) {
          Stage.serves(stage.keep(program.connect()), "n" + round + "-" + i);
        }
      }
      assertThat(program.process.isAlive()).isTrue();
      assertThat(program.log())
          .noneMatch(l -> l.contains("OutOfMemory") || l.contains("OutOfDirectMemory"));
    }
  }

  /**
   * Reload and SIGTERM while slow peers are connected: accepted requests are answered, and the
   * process ends in time.
   */
  @Test
  void reloadAndSigtermLoseNoRequestBesideSlowPeers() throws Exception {
    try (Stage stage = new Stage()) {
      AtomicBoolean hold = new AtomicBoolean(true);
      Peer slowly =
          stage.peer(
              line -> {
                for (String text; (text = line.read()) != null; ) {
                  while (text.startsWith("mg held") && hold.get()) {
                    Thread.sleep(5);
                  }
                  Stage.answer(line, text);
                }
              });
      String config = stage.config(stage.quietDiscovery().address(), Stage.cache("s-1", slowly));
      Program program =
          stage.keep(new Program(folder, config, 256, "-Xmx48m cacheproxy.Main", "serve"));
      Peer.Line usual = stage.keep(program.connect());
      Stage.serves(usual, "u");
      slowPeers(stage, program.port, 40);
      program.signal("HUP");
      Stage.await(() -> program.hasLogged("configuration read again"));
      Stage.serves(usual, "after-reload");
      List<Peer.Line> open = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        Peer.Line line = stage.keep(program.connect());
        line.write(Stage.read("held" + i, "t" + i));
        open.add(line);
      }
      Stage.await(() -> slowly.heard.stream().anyMatch(l -> l.startsWith("mg held")));
      program.signal("TERM");
      Thread.sleep(100); // the signal must arrive before the answers
      hold.set(false);
      for (int i = 0; i < 10; i++) {
        assertThat(open.get(i).read()).isEqualTo("VA 2 Ot" + i);
        assertThat(open.get(i).read()).isEqualTo("hi");
      }
      assertThat(program.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
      assertThat(program.process.exitValue()).isEqualTo(143);
    }
  }
}
