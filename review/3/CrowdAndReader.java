import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;
import standins.CacheNode;
import standins.Case;
import standins.Client;
import standins.RunRecord;
import standins.Settings;
import standins.Site;
import standins.Values;

/**
 * A client reads a value of 2 MiB in pieces of 256 KiB, with 1.7 s between them, while a crowd of
 * two thousand connects, one after the other, and idles. Who is shut out does not come back.
 */
final class CrowdAndReader {
  private static final int SOCKETS = 256;
  private static final int CROWD = 2000;
  private static final int CROWD_PAUSE_MS = 5;

  /** So many clients of the crowd stay connected; the proxy has fewer slots than that. */
  private static final int CROWD_CONNECTED = 250;

  private static final int WORK_MS = 50;
  private static final int VALUE_LENGTH = 2 << 20;
  private static final int PIECE = 256 << 10;
  private static final int READER_PAUSE_MS = 1700;
  private static final int READER_BUFFER = 64 << 10;
  private static final String ID = "q1";

  private CrowdAndReader() {}

  public static void main(String[] arguments) throws Exception {
    Case.main(arguments, CrowdAndReader::play);
  }

  private static String play(RunRecord record, boolean trouble) throws Exception {
    AtomicBoolean ended = new AtomicBoolean();
    try (Site site =
            new Site(
                record,
                Settings.HCM_RENDER.withSockets(SOCKETS),
                WORK_MS,
                (node, read) -> CacheNode.Reply.value(WORK_MS, VALUE_LENGTH));
        Client client = new Client(site.proxy().address(), READER_BUFFER)) {
      client.waitAtMost(10_000);
      client.send(Client.read("7f3a9c21e0b4d655", ID, "c=seg-image,d=800"));
      record.line("client  sent %s", ID);
      record.line("client  has the first line: %s", client.readLine());
      Thread crowd = new Thread(() -> connectAndIdle(record, site.proxy().address(), ended));
      if (trouble) {
        crowd.start();
      }
      try {
        return readInPieces(record, client);
      } finally {
        ended.set(true);
        crowd.join();
      }
    }
  }

  private static String readInPieces(RunRecord record, Client client) throws Exception {
    byte[] expected = Values.madeFor(ID, VALUE_LENGTH);
    for (int read = 0; read < VALUE_LENGTH; read += PIECE) {
      try {
        byte[] piece = client.readBytes(PIECE);
        if (!Arrays.equals(piece, 0, PIECE, expected, read, read + PIECE)) {
          return "the client got bytes of another value";
        }
      } catch (IOException e) {
        record.line("client  has %d of %d bytes: %s", read, VALUE_LENGTH, e.getMessage());
        return "a value that the cache node still gave was cut off";
      }
      record.line("client  has %d of %d bytes", read + PIECE, VALUE_LENGTH);
      Thread.sleep(READER_PAUSE_MS);
    }
    client.readBytes(2);
    record.line("client  has the whole value");
    return "";
  }

  private static void connectAndIdle(
      RunRecord record, InetSocketAddress proxy, AtomicBoolean ended) {
    ArrayDeque<Client> crowd = new ArrayDeque<>();
    int connected = 0;
    try {
      while (connected < CROWD && !ended.get()) {
        crowd.add(new Client(proxy));
        connected++;
        if (crowd.size() > CROWD_CONNECTED) {
          crowd.remove().close(); // the proxy has shut it out long ago
        }
        Thread.sleep(CROWD_PAUSE_MS);
      }
    } catch (IOException | InterruptedException e) {
      record.line("crowd   stopped: %s", e);
    }
    record.line("crowd   %d have connected", connected);
    for (Client client : crowd) {
      try {
        client.close();
      } catch (IOException e) {
        // it is of no further use
      }
    }
  }
}
