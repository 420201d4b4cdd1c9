import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import standins.Case;
import standins.CacheNode;
import standins.Client;
import standins.RunRecord;
import standins.Settings;
import standins.Site;

/** Usual clients beside clients that connect by hundreds and say nothing. */
final class SilentCrowd {
  private static final int SILENT_CLIENTS = 300;
  private static final int SECONDS = 15;
  private static final int REQUESTS_PER_SECOND = 30;
  private static final int WORK_MS = 50;
  private static final int VALUE_LENGTH = 512;

  /** FLEET: up to half a second after its time an answer only earns nothing; PROTOCOL: 50 ms. */
  private static final int ANSWER_BOUND_MS = 500 + 50;

  private final RunRecord record;
  private final InetSocketAddress proxy;
  private final AtomicBoolean ended = new AtomicBoolean();

  private SilentCrowd(RunRecord record, InetSocketAddress proxy) {
    this.record = record;
    this.proxy = proxy;
  }

  public static void main(String[] arguments) throws Exception {
    Case.main(arguments, SilentCrowd::play);
  }

  private static String play(RunRecord record, boolean trouble) throws Exception {
    try (Site site =
        new Site(
            record,
            Settings.HCM_RENDER,
            WORK_MS,
            (node, read) -> CacheNode.Reply.value(WORK_MS, VALUE_LENGTH))) {
      SilentCrowd run = new SilentCrowd(record, site.proxy().address());
      ExecutorService crowd = Executors.newFixedThreadPool(SILENT_CLIENTS);
      try {
        for (int i = 0; trouble && i < SILENT_CLIENTS; i++) {
          crowd.execute(run::connectAndSayNothing);
        }
        return run.askAsUsual();
      } finally {
        run.ended.set(true);
        crowd.shutdownNow();
      }
    }
  }

  /** Connects, says nothing, reads what comes, and connects again once it is shut out. */
  private void connectAndSayNothing() {
    while (!ended.get()) {
      try (Client client = new Client(proxy)) {
        client.waitAtMost(5000);
        client.readLine();
      } catch (IOException e) {
        // closed by the proxy
      }
    }
  }

  private String askAsUsual() throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    List<Future<Boolean>> ends = new ArrayList<>();
    long start = System.nanoTime();
    for (int i = 0; i < SECONDS * REQUESTS_PER_SECOND; i++) {
      long due = start + i * TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
      TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
      int number = i;
      ends.add(clients.submit(() -> ask(number)));
    }
    int lost = 0;
    for (Future<Boolean> end : ends) {
      lost += end.get() ? 0 : 1;
    }
    clients.shutdown();
    record.line("%d requests, %d lost", ends.size(), lost);
    return lost == 0 ? "" : lost + " of " + ends.size() + " requests lost";
  }

  /**
   * Sends one request on a new connection and waits for its answer. Every fifth is a client's last
   * try of a read, with 200 ms left of its class's second; one in thirty is a fix-submit that the
   * client gives up after half of its class's 600 ms; the others are first tries of reads.
   */
  private boolean ask(int number) throws IOException {
    String id = "O" + Integer.toHexString(0x100000 + number);
    String key = Integer.toHexString(0xabc000 + number);
    boolean write = number % 30 == 7;
    int timeMs = write ? 300 : number % 5 == 0 ? 200 : 700;
    String extra = write ? "c=fix-submit,d=300" : "c=seg-text,d=" + timeMs;
    extra += timeMs == 200 ? ",r=1" : "";
    try (Client client = new Client(proxy)) {
      client.waitAtMost(timeMs + 3000);
      String command =
          write ? Client.write(key, "report", id, extra) : Client.read(key, id, extra);
      double sentMs = record.nowMs();
      client.send(command);
      record.line("client  sent %s: %s", id, command.lines().findFirst().orElseThrow());
      String end;
      boolean answered = false;
      double tookMs;
      try {
        Client.Answer answer = client.readAnswer();
        tookMs = record.nowMs() - sentMs;
        answered = tookMs <= timeMs + ANSWER_BOUND_MS;
        end = answer.line();
      } catch (IOException e) {
        tookMs = record.nowMs() - sentMs;
        end = "no answer: " + e.getMessage();
      }
      record.line(
          "client  %s of %s after %.0f ms, d=%d: %s",
          answered ? "has the answer" : "LOST, end", id, tookMs, timeMs, end);
      return answered;
    }
  }
}
