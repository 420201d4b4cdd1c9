package reviewtwo;

import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Discovery that is asked: whole lists, and watches that are answered as soon as something changes.
 */
class Discovery extends Server {
  /** An entry of the list, and the version of its last change. */
  record Host(String json, boolean removed, long version) {}

  private final Record record;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private long version;

  Discovery(String ip, Record record) throws IOException {
    super(ip);
    this.record = record;
  }

  /**
   * Adds or changes an entry. {@code health} is {@code up}, {@code draining} or {@code removed}.
   */
  synchronized void put(String host, String dial, String kind, String health, long bornMs) {
    version++;
    String json =
        String.format(
            Locale.ROOT,
            "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"%s\",\"block\":0,"
                + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
            host,
            dial,
            kind,
            health,
            bornMs);
    hosts.put(host, new Host(json, health.equals("removed"), version));
    record.write("discovery: version %d, %s is %s", version, host, health);
    notifyAll();
  }

  /** The whole list. */
  synchronized String list() {
    return json(true, 0);
  }

  private String json(boolean whole, long since) {
    String entries =
        hosts.values().stream()
            .filter(host -> whole ? !host.removed : host.version > since)
            .map(Host::json)
            .collect(Collectors.joining(","));
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + entries + "]}";
  }

  @Override
  void serve(LineReader in, OutputStream out) throws IOException {
    for (String line; (line = in.line()) != null; ) {
      for (String header; (header = in.line()) != null && !header.isEmpty(); ) {
        // Headers are not needed.
      }
      String target = line.split(" ")[1];
      record.write("discovery: asked %s", target);
      String answer = answer(target);
      out.write(
          bytes(
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                  + answer.length()
                  + "\r\n\r\n"
                  + answer));
      record.write(
          "discovery: answered %s with %s",
          target, answer.length() < 600 ? answer : answer.length() + " bytes");
    }
  }

  private synchronized String answer(String target) {
    long since = parameter(target, "since");
    if (since <= 0 || since > version) {
      return json(true, 0);
    }
    double untilMs = Record.nowMs() + parameter(target, "timeout_ms");
    for (double leftMs; version <= since && (leftMs = untilMs - Record.nowMs()) > 0; ) {
      try {
        wait((long) Math.ceil(leftMs));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return json(false, since);
  }

  private static long parameter(String target, String name) {
    int at = target.indexOf(name + "=");
    return at < 0 ? -1 : Long.parseLong(target.substring(at + name.length() + 1).split("&")[0]);
  }
}
