package reviewtwo;

import java.io.IOException;

/** A client sends 40 valid commands at once. */
final class ManyAtOnce extends Case {
  private static final int ROUNDS = 5;
  private static final int COMMANDS = 40;

  @Override
  boolean holds() throws Exception {
    Discovery discovery = using(new Discovery("127.0.0.1", record));
    CacheNode node = using(new CacheNode("s-1", "127.0.0.1"));
    discovery.put("s-1", node.address(), "cache", "up", 0);
    discovery.put("s-2", using(new Origin("127.0.0.1")).address(), "origin", "up", 0);
    ProxyProcess proxy = startProxy(settingsFor(discovery), "p");
    proxy.awaitReady();
    int answered = 0;
    for (int round = 0; round < ROUNDS; round++) {
      answered += answers(proxy, "r" + round);
    }
    record.write("requests: %d sent, %d answered", ROUNDS * COMMANDS, answered);
    return answered == ROUNDS * COMMANDS;
  }

  /** Sends the commands on one connection, at once or one after the other, and counts answers. */
  private int answers(ProxyProcess proxy, String name) throws IOException {
    try (Client client = new Client(proxy.address)) {
      if (trouble) {
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < COMMANDS; i++) {
          commands.append(command(name, i));
        }
        client.send(commands.toString());
        record.write("client %s: sent %d commands at once", name, COMMANDS);
      }
      for (int i = 0; i < COMMANDS; i++) {
        if (!trouble) {
          client.send(command(name, i));
        }
        String answer = client.answer(3000);
        record.write("client %s: answer %d: %s", name, i, answer);
        if (!answer.startsWith("VA ") && !answer.startsWith("SERVER_ERROR")) {
          return i;
        }
      }
      return COMMANDS;
    }
  }

  private static String command(String name, int i) {
    return Client.read("k" + name + "x" + i, name + "i" + i, "read", 1000);
  }

  public static void main(String[] args) {
    run(new ManyAtOnce(), args);
  }
}
