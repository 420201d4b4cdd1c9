import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import standins.RunRecord;
import standins.Server;

/**
 * An origin that drops the repeat of an idempotency key for as long as the settings say, and the
 * slack of the protocol page more. It runs a key at once and keeps its answer back until {@link
 * #resetAll} resets the connections; a repeat is answered at once.
 */
final class ForgetfulOrigin extends Server {
  private static final Pattern LENGTH =
      Pattern.compile("\r\ncontent-length: *(\\d+)\r\n", Pattern.CASE_INSENSITIVE);
  private static final Pattern KEY = Pattern.compile("[:, ]k=(\\w+)");
  private static final double NANOS_PER_MS = 1e6;

  private final RunRecord record;
  private final double remembersForMs;
  private final Map<String, Long> firstRunNanos = new ConcurrentHashMap<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Set<Socket> unanswered = ConcurrentHashMap.newKeySet();

  ForgetfulOrigin(RunRecord record, double remembersForMs) throws IOException {
    this.record = record;
    this.remembersForMs = remembersForMs;
    listen();
  }

  /** How often each key has run. */
  Map<String, Integer> runs() {
    return runs;
  }

  /** Resets the connections of all writes that have run and are not answered. */
  void resetAll() throws IOException {
    for (Socket socket : unanswered) {
      socket.setSoLinger(true, 0); // close() sends a reset
      socket.close();
    }
    record.line("origin  resets %d connections", unanswered.size());
    unanswered.clear();
  }

  @Override
  protected void serve(Socket socket) throws Exception {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    while (true) {
      String head = readHead(in);
      in.readNBytes(Integer.parseInt(first(LENGTH, head)));
      String key = first(KEY, head);
      long now = System.nanoTime();
      Long firstRun = firstRunNanos.putIfAbsent(key, now);
      if (firstRun == null) {
        runs.put(key, 1);
        record.line("origin  runs %s", key);
        unanswered.add(socket);
        new CountDownLatch(1).await();
      }
      answerRepeat(socket.getOutputStream(), key, (now - firstRun) / NANOS_PER_MS);
    }
  }

  private void answerRepeat(OutputStream out, String key, double ageMs) throws IOException {
    if (ageMs > remembersForMs) {
      runs.merge(key, 1, Integer::sum);
      record.line("origin  RUNS %s AGAIN, %.1f ms after its first run", key, ageMs);
    } else {
      record.line("origin  drops the repeat of %s, %.1f ms after its first run", key, ageMs);
    }
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + key.length() + "\r\n\r\n" + key;
    out.write(answer.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException();
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static String first(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    if (!matcher.find()) {
      throw new IllegalArgumentException(text);
    }
    return matcher.group(1);
  }
}
