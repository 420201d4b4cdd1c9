package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that pipeline reads of values of 60 KiB take a few seconds to read their answers. */
final class SlowReaders extends Case {
  private static final int CLIENTS = 40;
  private static final int REQUESTS = 16;
  private static final int VALUE_BYTES = 60 << 10;
  private static final int PAUSE_MS = 400;
  private static final int MEMORY_MB = 96;

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  private static final class Node extends CacheNode {
    Node(String name) throws IOException {
      super(name, "127.0.0.1");
    }

    @Override
    void answer(Command command, OutputStream out) throws IOException {
      String value = longValue(command.id());
      out.write(bytes(valueLine(command, value) + value + "\r\n"));
    }
  }

  private static String longValue(String id) {
    return (id + ".").repeat(VALUE_BYTES / (id.length() + 1) + 1).substring(0, VALUE_BYTES);
  }

  @Override
  boolean holds() throws Exception {
    Discovery discovery = using(new Discovery("127.0.0.1", record));
    for (String name : new String[] {"s-1", "s-2", "s-3"}) {
      discovery.put(name, using(new Node(name)).address(), "cache", "up", 0);
    }
    discovery.put("s-4", using(new Origin("127.0.0.1")).address(), "origin", "up", 0);
    Settings settings = settingsFor(discovery);
    settings.memoryMb = MEMORY_MB;
    ProxyProcess proxy = startProxy(settings, "p");
    proxy.awaitReady();
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients[i] = Server.start(() -> readAll(proxy, number));
      Server.sleep(20);
    }
    for (Thread client : clients) {
      client.join();
    }
    record.write(
        "requests: served %d, refused or failed %d, never answered %d",
        served.get(), refused.get(), lost.get());
    return lost.get() == 0;
  }

  private void readAll(ProxyProcess proxy, int number) {
    int answered = 0;
    try (Client client = new Client(proxy.address)) {
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < REQUESTS; i++) {
        commands.append(Client.read("k" + number + "x" + i, id(number, i), "read", 1000));
      }
      client.send(commands.toString());
      record.write("client %d: sent %d requests", number, REQUESTS);
      for (; answered < REQUESTS; answered++) {
        if (trouble) {
          Server.sleep(PAUSE_MS);
        }
        if (!isAnswer(client.answer(5000), id(number, answered))) {
          throw new IOException("closed between two answers");
        }
      }
      record.write("client %d: all answers read", number);
    } catch (IOException e) {
      lost.addAndGet(REQUESTS - answered);
      record.write("client %d: after %d answers: %s", number, answered, e);
    }
  }

  private static String id(int client, int request) {
    return "c" + client + "r" + request;
  }

  private boolean isAnswer(String answer, String id) {
    if (answer.startsWith("VA ") && answer.endsWith(" " + longValue(id))) {
      served.incrementAndGet();
      return true;
    }
    if (answer.startsWith("SERVER_ERROR")) {
      refused.incrementAndGet();
      return true;
    }
    return false;
  }

  public static void main(String[] args) {
    run(new SlowReaders(), args);
  }
}
