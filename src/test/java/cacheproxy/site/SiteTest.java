package cacheproxy.site;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.load.RequestClass;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests of the stand-ins over sockets, and of the breaches that the ledger reports when the test
 * acts as a faulty proxy.
 */
@Timeout(60)
class SiteTest {
  private static final class Caller implements AutoCloseable {
    final Socket socket;
    final BufferedReader in;

    Caller(InetSocketAddress at) throws IOException {
      socket = new Socket(at.getAddress(), at.getPort());
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(20_000);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    }

    String sendAndReadLine(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return in.readLine();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static Site site(int nodes) throws Exception {
    return new Site(new Site.Plan(nodes, 0, 2, 100, 1, 1, 3, 4, 10, 1000, 3, 7));
  }

  private static InetSocketAddress addressOf(Site site, String name) throws Exception {
    return JsonParser.parseString(site.proxyConfig(0, 1, 1, RequestClass.DEFAULTS))
        .getAsJsonObject()
        .getAsJsonObject("known")
        .getAsJsonArray("hosts")
        .asList()
        .stream()
        .map(h -> h.getAsJsonObject())
        .filter(h -> h.get("host").getAsString().equals(name))
        .map(h -> h.get("dial").getAsString().split(":"))
        .map(d -> new InetSocketAddress(d[0], Integer.parseInt(d[1])))
        .findFirst()
        .orElseThrow();
  }

  private static void requestAccepted(Site site, Ledger.Effect effect, String... ids) {
    requestAccepted(site, 100, effect, ids);
  }

  private static void requestAccepted(
      Site site, double waitsMs, Ledger.Effect effect, String... ids) {
    synchronized (site.ledger()) {
      for (String id : ids) {
        site.ledger().requestAccepted(id, effect, null, site.nowMs(), site.nowMs() + waitsMs);
      }
    }
  }

  private static void answered(Site site, String id, Ledger.FinalAnswer answer) {
    synchronized (site.ledger()) {
      site.ledger().answered(id, answer, site.nowMs());
    }
  }

  private static String requestFromOrigin(Caller origin, String method, String key, String id)
      throws IOException {
    String status =
        origin.sendAndReadLine(
            method + " /" + key + " HTTP/1.1\r\nReq-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    String line = origin.in.readLine();
    int length = 0;
    for (; !line.isEmpty(); line = origin.in.readLine()) {
      length =
          line.toLowerCase(Locale.ROOT).startsWith("content-length: ")
              ? Integer.parseInt(line.substring(16))
              : length;
    }
    for (int i = 0; i < length; i++) {
      origin.in.read();
    }
    return status;
  }

  private static List<Breach> judgeAfterDeadlines(Site site) throws Exception {
    // The requests' time to their deadline, and the grace after which they count as lost.
    Thread.sleep((long) (200 + Site.LOST_MS + 2 * Site.ANSWER_GRACE_MS));
    return site.judgeRequests();
  }

  @Test
  void originAnswerFillsTheMissingNodeAndAWriteInvalidatesIt() throws Exception {
    try (Site site = site(1);
        Caller node = new Caller(addressOf(site, "s-0001"));
        Caller origin = new Caller(addressOf(site, "s-origin"))) {
      requestAccepted(site, 60_000, Ledger.Effect.IDEMPOTENT, "r1", "r2", "r3", "r4");
      requestAccepted(site, 60_000, Ledger.Effect.NOT_IDEMPOTENT, "w1");
      assertThat(node.sendAndReadLine("mg a v Or1 Pc=text,d=99\r\n")).isEqualTo("EN Or1 h0");
      assertThat(requestFromOrigin(origin, "GET", "a", "r1")).startsWith("HTTP/1.1 200");
      answered(site, "r1", Ledger.FinalAnswer.SERVED);
      assertThat(node.sendAndReadLine("mg a v Or2 Pc=text,d=99\r\n")).isEqualTo("VA 512 Or2 h1");
      node.in.readLine();
      answered(site, "r2", Ledger.FinalAnswer.SERVED);
      assertThat(requestFromOrigin(origin, "PUT", "a", "w1")).startsWith("HTTP/1.1 200");
      answered(site, "w1", Ledger.FinalAnswer.SERVED);
      assertThat(node.sendAndReadLine("mg a v Or3 Pc=text,d=99\r\n")).isEqualTo("EN Or3 h0");
      answered(site, "r3", Ledger.FinalAnswer.REFUSED);
      site.corruptNextAnswer("s-0001");
      assertThat(node.sendAndReadLine("mg a v Or4 Pc=text,d=99\r\n")).contains("spoilt");
      answered(site, "r4", Ledger.FinalAnswer.FAILED);
      synchronized (site.ledger()) { // these requests break no rule
        site.ledger().judgeExpiredRequests(site.nowMs() + 120_000);
        assertThat(site.ledger().judgedRequests()).isEqualTo(5);
        assertThat(site.ledger().breaches()).isEmpty();
      }
    }
  }

  @Test
  void nodeRejectsExcessConnectionsAndRefusesThemWhileCrashed() throws Exception {
    try (Site site = site(1)) {
      InetSocketAddress port = addressOf(site, "s-0001");
      Caller[] held = {new Caller(port), new Caller(port), new Caller(port), new Caller(port)};
      for (int i = 0; i < 3; i++) {
        assertThat(held[i].sendAndReadLine("mn\r\n")).isEqualTo("MN");
      }
      assertThat(held[3].sendAndReadLine("mn\r\n")).isEqualTo("SERVER_ERROR busy");
      assertThat(held[3].in.readLine()).isNull();
      site.crash("s-0001");
      Assertions.assertThatThrownBy(
              () -> {
                if (held[0].in.readLine() == null) {
                  throw new SocketException("ended");
                }
              })
          .isInstanceOf(SocketException.class);
      Assertions.assertThatThrownBy(() -> new Caller(port).close())
          .isInstanceOf(ConnectException.class);
      site.restart("s-0001");
      try (Caller again = new Caller(port)) {
        assertThat(again.sendAndReadLine("mn\r\n")).isEqualTo("MN");
      }
    }
  }

  @Test
  void ledgerReportsABreachOfEachRule() throws Exception {
    try (Site site = site(2);
        Caller node = new Caller(addressOf(site, "s-0001"));
        Caller origin = new Caller(addressOf(site, "s-origin"))) {
      requestAccepted(site, Ledger.Effect.IDEMPOTENT, "lost", "unasked");
      answered(
          site,
          "unasked",
          Ledger.FinalAnswer
              .SERVED); // rule 1 twice: "unasked" was run by no server, "lost" gets no answer
      requestAccepted(site, Ledger.Effect.NOT_IDEMPOTENT, "twice");
      requestFromOrigin(origin, "PUT", "a", "twice");
      requestFromOrigin(origin, "PUT", "a", "twice"); // breaks rule 2: the write takes effect twice
      answered(site, "twice", Ledger.FinalAnswer.SERVED);
      assertThat(judgeAfterDeadlines(site))
          .extracting(Breach::rule)
          .containsExactlyInAnyOrder(1, 1, 2);

      String cold = site.join();
      try (Caller burst = new Caller(addressOf(site, cold))) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 20_000; i++) {
          text.append("mg k").append(i).append(" v Ob").append(i).append(" Pc=text,d=99\r\n");
          requestAccepted(site, Ledger.Effect.IDEMPOTENT, "b" + i);
          synchronized (site.ledger()) {
            site.ledger().noAnswerOwed("b" + i); // its client closed the connection
          }
        }
        burst.sendAndReadLine(text.toString()); // breaks rule 4: overloads a cold node
        assertThat(judgeAfterDeadlines(site)).extracting(Breach::rule).contains(4);
      }

      site.drain("s-0001");
      Thread.sleep((long) (Site.DRAIN_GRACE_MS + Site.ANSWER_GRACE_MS + 200));
      requestAccepted(site, Ledger.Effect.IDEMPOTENT, "late");
      assertThat(node.sendAndReadLine("mg a v Olate Pc=text,d=99\r\n"))
          .isEqualTo("SERVER_ERROR busy"); // breaks rule 3: a new request to a draining node
      assertThat(site.judgeRequests()).extracting(Breach::rule).contains(3);
    }
  }

  /** Waits at the barrier for the other thread, with a timeout. */
  private static void await(CyclicBarrier turn) {
    try {
      turn.await(10, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Guards against blaming a proxy for a delay of the site: while the event loop is kept from
   * reading, a request that arrived before the final answer must not be reported as sent after it.
   * A request that did arrive after the final answer is reported.
   */
  @Test
  void requestIsJudgedByArrivalTimeNotByReadTime() throws Exception {
    try (Site site = site(1);
        Caller node = new Caller(addressOf(site, "s-0001"));
        Caller origin = new Caller(addressOf(site, "s-origin"))) {
      assertThat(node.sendAndReadLine("mn\r\n")).isEqualTo("MN");
      requestAccepted(site, 60_000, Ledger.Effect.IDEMPOTENT, "before", "ahead");
      requestFromOrigin(origin, "GET", "a", "ahead");
      InetSocketAddress at = addressOf(site, "s-0001");
      assertThat(node.sendAndReadLine("mg a v Obefore Pc=text,d=99\r\n"))
          .isEqualTo("EN Obefore h0");
      CyclicBarrier turn = new CyclicBarrier(2);
      site.schedule(
          0,
          () -> {
            await(turn);
            await(turn);
          });
      await(turn);
      try (Caller fresh =
          new Caller(at)) { // sends on a new connection and on one that the loop has polled before
        fresh
            .socket
            .getOutputStream()
            .write("mg a v Obefore Pc=text,d=99\r\n".getBytes(StandardCharsets.ISO_8859_1));
        origin
            .socket
            .getOutputStream()
            .write(
                "GET /a HTTP/1.1\r\nReq-Id: ahead\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        answered(site, "before", Ledger.FinalAnswer.SERVED);
        answered(site, "ahead", Ledger.FinalAnswer.SERVED);
        Thread.sleep((long) (3 * Site.ANSWER_GRACE_MS));
        await(turn);
        assertThat(fresh.in.readLine()).isEqualTo("EN Obefore h0");
        assertThat(origin.in.readLine()).startsWith("HTTP/1.1 200");
      }
      assertThat(site.judgeRequests()).isEmpty();
      synchronized (site.ledger()) {
        assertThat(site.ledger().undecidedArrivals()).isEqualTo(2);
      }

      int attempts = 0;
      for (;
          site.judgeRequests().isEmpty() && attempts < 100;
          attempts++) { // retries if a delay of the machine left the arrival time undecided
        requestAccepted(site, 60_000, Ledger.Effect.IDEMPOTENT, "after" + attempts);
        answered(site, "after" + attempts, Ledger.FinalAnswer.REFUSED);
        Thread.sleep((long) (2 * Site.ANSWER_GRACE_MS));
        assertThat(node.sendAndReadLine("mg a v Oafter" + attempts + " Pc=text,d=99\r\n"))
            .startsWith("EN");
      }
      assertThat(site.judgeRequests()).extracting(Breach::rule).containsExactly(1);
    }
  }

  @Test
  void discoveryQueuesCallsAndCanBecomeUnreachable() throws Exception {
    try (Site site = site(60)) {
      String call = "GET /discovery/hosts HTTP/1.1\r\n\r\n";
      Caller[] callers = new Caller[30];
      for (int i = 0;
          i < callers.length;
          i++) { // 92 lines each at 1,000 a second: calls that would wait over 2 s are rejected
        callers[i] = new Caller(site.discoveryAddress());
        callers[i].socket.getOutputStream().write(call.getBytes(StandardCharsets.ISO_8859_1));
      }
      long began = System.nanoTime();
      int rejected = 0;
      for (Caller c : callers) {
        rejected += c.in.readLine().contains("503") ? 1 : 0;
        c.close();
      }
      assertThat(rejected).isBetween(4, 9);
      assertThat(System.nanoTime() - began).isGreaterThan(1_500_000_000L);
      Caller watch = new Caller(site.discoveryAddress());
      watch
          .socket
          .getOutputStream()
          .write(
              "GET /discovery/hosts?since=62&timeout_ms=60000 HTTP/1.1\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      site.setDiscoveryUnreachable(true);
      assertThat(watch.in.readLine()).isNull();
      site.setDiscoveryUnreachable(false);
      assertThat(new Caller(site.discoveryAddress()).sendAndReadLine(call))
          .isEqualTo("HTTP/1.1 200 OK");
    }
  }

  /**
   * Runs the demo with real proxy processes and several faults: the exit code is 0 if no rule is
   * broken and 2 for invalid arguments or an invalid scenario.
   */
  @Test
  void demoReportsItsResultAsExitCode(@TempDir Path folder) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("s.toml"),
            "[[fault]]\nat_s = 0.5\nwhat = 'crash'\nnode = 1\n[[fault]]\nat_s = 1\n"
                + "what = 'restart'\nnode = 1\n[[fault]]\nat_s = 0.2\nwhat = 'spoil'\n[[fault]]\nat_s = 1.5\nwhat = 'join'\n"
                + "[[fault]]\nat_s = 2\nwhat = 'lists_out'\n[[fault]]\nat_s = 2\nwhat = 'drain'\nnode = 2\n");
    assertThat(
            cacheproxy.fleet.FleetCommand.run(
                true,
                "--nodes",
                "4",
                "--seconds",
                "3",
                "--rate",
                "50",
                "--scenario",
                file.toString()))
        .isZero();
    Files.writeString(file, "[[fault]]\nat_s = 'now'\n");
    assertThat(cacheproxy.fleet.FleetCommand.run(true, "--scenario", file.toString())).isEqualTo(2);
    assertThat(cacheproxy.fleet.FleetCommand.run(true, "--nodes", "0")).isEqualTo(2);
    assertThat(cacheproxy.fleet.FleetCommand.run(true, "--fault", "earthquake")).isEqualTo(2);
  }
}
