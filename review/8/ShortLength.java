package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of the origin come with a length that is shorter than their body. */
final class ShortLength extends Case {
  private static final int REQUESTS = 600;
  private static final int PAUSE_MS = 10;
  private static final int SPOILT_ONE_IN = 20;
  private static final int MISSING_BYTES = 4;

  private final AtomicInteger spoilt = new AtomicInteger();
  private int served;
  private int wrong;

  private final class SpoilingOrigin extends Origin {
    SpoilingOrigin() throws IOException {
      super("127.0.0.1");
    }

    @Override
    void answer(Command command, OutputStream out) throws IOException {
      String body = command.write() ? receipt(command) : CacheNode.value(command);
      if (trouble && ThreadLocalRandom.current().nextInt(SPOILT_ONE_IN) == 0) {
        spoilt.incrementAndGet();
        int length = body.length() - MISSING_BYTES;
        record.write("origin: length %d, body of %d bytes: %s", length, body.length(), body);
        out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body));
      } else {
        out.write(response(body));
      }
    }
  }

  @Override
  boolean holds() throws Exception {
    Discovery discovery = using(new Discovery("127.0.0.1", record));
    for (String name : new String[] {"s-1", "s-2"}) {
      discovery.put(name, using(new EmptyNode(name)).address(), "cache", "up", 0);
    }
    discovery.put("s-3", using(new SpoilingOrigin()).address(), "origin", "up", 0);
    ProxyProcess proxy = startProxy(settingsFor(discovery), "p");
    proxy.awaitReady();
    try (Client client = using(new Client(proxy.address))) {
      for (int i = 0; i < REQUESTS; i++) {
        request(client, "k" + i, "id" + i, i % 2 == 0);
        Server.sleep(PAUSE_MS);
      }
    }
    record.write(
        "sent %d, spoilt answers %d; served %d, of these with anything but the value or receipt"
            + " that was made for the request %d",
        REQUESTS, spoilt.get(), served, wrong);
    return wrong == 0;
  }

  private void request(Client client, String key, String id, boolean write) throws IOException {
    client.send(
        write ? Client.write(key, id, "write", 600, "v") : Client.read(key, id, "read", 1000));
    String answer = client.answer(1600);
    record.write("client: %s %s answered %s", write ? "write" : "read", id, answer);
    Command own = new Command(key, id, write, "", 0);
    if (answer.startsWith("HD ")) {
      judge(answer.equals("HD O" + id + " c" + Origin.receipt(own)), id, answer);
    } else if (answer.startsWith("VA ")) {
      judge(answer.endsWith(" " + CacheNode.value(own)), id, answer);
    } else if (!answer.startsWith("SERVER_ERROR")) {
      throw new IOException("no answer to " + id + ": " + answer);
    }
  }

  private void judge(boolean ownAnswer, String id, String answer) {
    served++;
    if (!ownAnswer) {
      wrong++;
      record.write("BROKEN: %s was served with %s", id, answer);
    }
  }

  public static void main(String[] args) {
    run(new ShortLength(), args);
  }
}
