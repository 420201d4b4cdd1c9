import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import standins.CacheNode;
import standins.CacheNode.Outcome;
import standins.CacheNode.Reply;
import standins.Case;
import standins.Client;
import standins.RunRecord;
import standins.Settings;
import standins.Site;

/**
 * A cache node drops requests with very little time left without a word, while others are in flight
 * on the same connections. Twelve clients ask that node: four with 60 ms left (ids a.), then four
 * with 500 ms (ids b.), both of a class that must not run twice, then four reads that may be
 * repeated (ids c.).
 *
 * <p>The node drops the first four, as it needs 65 ms for a request. It runs the second four, which
 * fail. It turns the third four away, as its queue is full. All other nodes serve what they get.
 * Without the disruption the node answers the first four too: busy, as those requests are over.
 */
final class DroppedWithoutWord {
  private static final int ROUNDS = 5;
  private static final int BUSY_NODE = 1;
  private static final int CLIENTS_OF_A_KIND = 4;
  private static final int PAUSE_MS = 15;
  private static final int WORK_MS = 65;
  private static final int VALUE_LENGTH = 512;
  private static final int FIRST_KEY = 0xabc000;
  private static final int KEYS = 80;

  private final RunRecord record;
  private final boolean trouble;
  private final Map<String, Integer> nodeOfKey = new ConcurrentHashMap<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  private DroppedWithoutWord(RunRecord record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Case.main(arguments, DroppedWithoutWord::play);
  }

  private static String play(RunRecord record, boolean trouble) throws Exception {
    List<String> broken = new ArrayList<>();
    for (int round = 1; round <= ROUNDS; round++) {
      record.line("round %d", round);
      broken.addAll(new DroppedWithoutWord(record, trouble).playRound());
    }
    return broken.isEmpty() ? "" : "requests that must never run twice ran twice: " + broken;
  }

  /** Plays a round at a site of its own and returns the requests that ran too often. */
  private List<String> playRound() throws Exception {
    Settings settings = Settings.HCM_RENDER.withUnsafe("seg-image");
    try (Site site = new Site(record, settings, WORK_MS, this::reply)) {
      List<String> keys = findKeysOfBusyNode(site);
      ExecutorService clients = Executors.newCachedThreadPool();
      List<Future<?>> ends = new ArrayList<>();
      for (char kind : new char[] {'a', 'b', 'c'}) {
        for (int i = 0; i < CLIENTS_OF_A_KIND; i++) {
          String key = keys.get(ends.size());
          String id = kind + Integer.toString(i);
          ends.add(clients.submit(() -> ask(site, key, id, extra(kind))));
        }
        Thread.sleep(PAUSE_MS);
      }
      for (Future<?> end : ends) {
        end.get();
      }
      clients.shutdown();
    }
    List<String> twice = new ArrayList<>();
    runs.forEach(
        (id, times) -> {
          record.line("request %s ran %d times", id, times);
          if (times > 1 && id.charAt(0) != 'c') {
            twice.add(id);
          }
        });
    return twice;
  }

  private static String extra(char kind) {
    return switch (kind) {
      case 'a' -> "c=seg-image,d=60";
      case 'b' -> "c=seg-image,d=500";
      default -> "c=seg-text,d=500";
    };
  }

  /** Reads each key once, while all nodes serve, and returns those that went to the busy node. */
  private List<String> findKeysOfBusyNode(Site site) throws Exception {
    for (int i = 0; i < KEYS; i++) {
      ask(site, Integer.toHexString(FIRST_KEY + i), "p" + i, "c=seg-text,d=800");
    }
    Thread.sleep(100);
    return nodeOfKey.entrySet().stream()
        .filter(entry -> entry.getValue() == BUSY_NODE)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  private Reply reply(int node, CacheNode.Read read) {
    char kind = read.id().charAt(0);
    if (kind == 'p') {
      nodeOfKey.put(read.key(), node);
      return Reply.value(1, VALUE_LENGTH);
    }
    if (node == BUSY_NODE && kind == 'a') {
      return Reply.of(trouble ? Outcome.DROPPED : Outcome.BUSY, WORK_MS);
    }
    if (node == BUSY_NODE && kind == 'c') {
      return Reply.of(Outcome.BUSY, 0);
    }
    runs.merge(read.id(), 1, Integer::sum);
    return node == BUSY_NODE
        ? Reply.of(Outcome.FAILED, WORK_MS)
        : Reply.value(WORK_MS, VALUE_LENGTH);
  }

  private Void ask(Site site, String key, String id, String extra) throws IOException {
    try (Client client = new Client(site.proxy().address())) {
      client.waitAtMost(3000);
      record.line("client  sends %s: key %s, %s", id, key, extra);
      client.send(Client.read(key, id, extra));
      record.line("client  has for %s: %s", id, client.readAnswer().line());
    }
    return null;
  }
}
