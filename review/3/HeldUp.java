import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import standins.CacheNode;
import standins.Case;
import standins.Client;
import standins.RunRecord;
import standins.Settings;
import standins.Site;

/**
 * A proxy is held up for 0.14 s just as it sends keyed writes a second time. In each round forty
 * clients send a write each. The origin runs them, and resets the connections 335 ms later, within
 * the 400 ms in which it drops a repeat.
 */
final class HeldUp {
  private static final int ROUNDS = 20;
  private static final int CLIENTS = 40;

  /** The window of the class log-append in granite-loop. */
  private static final double WINDOW_MS = 400;

  /** PROTOCOL: each time limit is 50 ms longer. */
  private static final double SLACK_MS = 50;

  /** FLEET: a proxy may be held up for up to 0.15 s. */
  private static final double LONGEST_PAUSE_MS = 150;

  private static final int RESET_AFTER_MS = 335;

  /** The pause begins up to so many milliseconds after the resets, by round. */
  private static final int OFFSETS_MS = 4;

  private static final int BETWEEN_ROUNDS_MS = 500;

  private HeldUp() {}

  public static void main(String[] arguments) throws Exception {
    Case.main(arguments, HeldUp::play);
  }

  private static String play(RunRecord record, boolean trouble) throws Exception {
    ForgetfulOrigin origin = new ForgetfulOrigin(record, WINDOW_MS + SLACK_MS);
    int twice = 0;
    try (Site site = new Site(record, Settings.GRANITE_LOOP, origin, (node, read) -> noReads());
        Pauser pauser = new Pauser(site.proxy().pid())) {
      for (int round = 0; round < ROUNDS; round++) {
        List<Client> clients = sendWrites(site, round);
        Thread.sleep(RESET_AFTER_MS);
        origin.resetAll();
        double pausedMs = trouble ? pause(pauser, round) : 0;
        readAnswers(record, clients);
        int again = (int) origin.runs().values().stream().filter(times -> times > 1).count();
        origin.runs().clear();
        boolean counts = pausedMs <= LONGEST_PAUSE_MS;
        record.line(
            "round %d: held up for %.1f ms at most, %d writes ran twice%s",
            round, pausedMs, again, counts ? "" : "; not counted, held up for too long");
        twice += counts ? again : 0;
        Thread.sleep(BETWEEN_ROUNDS_MS);
      }
    }
    return twice == 0 ? "" : twice + " of " + ROUNDS * CLIENTS + " keyed writes ran twice";
  }

  private static CacheNode.Reply noReads() {
    return CacheNode.Reply.of(CacheNode.Outcome.MISS, 1);
  }

  private static List<Client> sendWrites(Site site, int round) throws IOException {
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(new Client(site.proxy().address()));
    }
    for (int i = 0; i < CLIENTS; i++) {
      int number = round * CLIENTS + i;
      String extra = "c=log-append,d=640,k=k" + number;
      String key = Integer.toHexString(0xabc000 + number);
      clients.get(i).send(Client.write(key, "entry", "q" + number, extra));
    }
    return clients;
  }

  private static double pause(Pauser pauser, int round) throws Exception {
    TimeUnit.MILLISECONDS.sleep(round % OFFSETS_MS);
    return pauser.pause();
  }

  private static void readAnswers(RunRecord record, List<Client> clients) throws IOException {
    for (Client client : clients) {
      try (client) {
        client.waitAtMost(3000);
        record.line("client  has: %s", client.readAnswer().line());
      } catch (IOException e) {
        record.line("client  has no answer: %s", e.getMessage());
      }
    }
  }
}
