package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;

/** A client stops in the middle of its next command while its write is open. */
final class HalfCommand extends Case {
  private static final int ROUNDS = 6;
  private static final int DEADLINE_MS = 3000;
  private static final int ORIGIN_MS = 2600;

  /** Takes most of the time that the class of the write has. */
  private final class SlowOrigin extends Origin {
    SlowOrigin() throws IOException {
      super("127.0.0.1");
    }

    @Override
    void answer(Command command, OutputStream out) throws IOException {
      record.write("origin: carries out %s %s", command.write() ? "write" : "read", command.id());
      sleep(ORIGIN_MS);
      super.answer(command, out);
    }
  }

  @Override
  boolean holds() throws Exception {
    Discovery discovery = using(new Discovery("127.0.0.1", record));
    CacheNode node = using(new CacheNode("s-1", "127.0.0.1"));
    discovery.put("s-1", node.address(), "cache", "up", 0);
    discovery.put("s-2", using(new SlowOrigin()).address(), "origin", "up", 0);
    Settings settings = settingsFor(discovery);
    settings.writeDeadlineMs = DEADLINE_MS;
    ProxyProcess proxy = startProxy(settings, "p");
    proxy.awaitReady();
    int lost = 0;
    for (int round = 0; round < ROUNDS; round++) {
      lost += isAnswered(proxy, "w" + round) ? 0 : 1;
    }
    record.write("writes: %d sent, %d never answered", ROUNDS, lost);
    return lost == 0;
  }

  private boolean isAnswered(ProxyProcess proxy, String id) throws IOException {
    try (Client client = new Client(proxy.address)) {
      double sentMs = Record.nowMs();
      client.send(Client.write("k", id, "write", DEADLINE_MS, "value"));
      record.write("client: sent write %s", id);
      if (trouble) {
        client.send("mg k v Onext");
        record.write("client: sent half of its next command, and stops there");
      }
      String answer = client.line(DEADLINE_MS + 550);
      record.write("client: write %s: %s after %.0f ms", id, answer, Record.nowMs() - sentMs);
      return answer.startsWith("HD ") || answer.startsWith("SERVER_ERROR");
    }
  }

  public static void main(String[] args) {
    run(new HalfCommand(), args);
  }
}
