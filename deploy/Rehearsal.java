import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Part of the build: has the packaged proxy serve some requests between scripted peers and leave an
 * archive of the classes that took (class data sharing). With it a proxy is up in half the time and
 * does not spend its first requests on loading classes. Without it, or with one of another JVM,
 * everything works, only slower at first.
 */
final class Rehearsal {
  private static final int REQUESTS = 300;

  private interface Script {
    void run(BufferedReader in, OutputStream out) throws IOException;
  }

  public static void main(String[] args) throws Exception {
    String cache =
        serve(
            (in, out) -> {
              for (String line; (line = in.readLine()) != null; ) {
                String id = line.replaceAll(".* O(\\S+).*", "$1");
                write(
                    out,
                    id.hashCode() % 3 == 0
                        ? "EN O" + id + " h0\r\n"
                        : "VA 2 O" + id + " h1\r\nhi\r\n");
              }
            });
    String origin =
        serve(
            (in, out) -> {
              for (String line; (line = in.readLine()) != null; ) {
                if (line.startsWith("PUT")) {
                  while (!in.readLine().isEmpty()) {
                    // the rest of the head
                  }
                  in.read(new char[2]);
                }
                if (line.isEmpty() || line.startsWith("PUT")) {
                  write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
                }
              }
            });
    String hosts =
        host("s-1", cache, "cache")
            + ","
            + host("s-2", cache, "cache")
            + ","
            + host("s-3", origin, "origin");
    String list = "{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}";
    String discovery =
        serve(
            (in, out) -> {
              for (String line; (line = in.readLine()) != null; ) {
                if (line.startsWith("GET") && line.contains("since=1&")) {
                  write(
                      out,
                      "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                }
              }
            });
    int port = freePort();
    int control = freePort();
    Path config = Files.createTempFile("rehearsal", ".json");
    Files.writeString(
        config,
        """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"1","known":%s,
                 "peer_listen":"127.0.0.1:0","peers":[],"control":"127.0.0.1:%d","limits":{"cores":1,"memory_mb":128,"sockets":256},
                 "settings":{"me":0,"balancers":1,"locality":0,"zones":["z"],"kinds":["cache","origin"],
                  "discovery":"ask","extra":{"mode":"aside","origin-kind":1},"report":{"how":"silent","names":[]},
                  "value-by":"request","caps":{"may-cancel":true,"may-probe":false,"peers":true,"second-copies":true,
                  "retry-after":true,"max-attempts":3,"connect-timeout":500},
                  "guarantees":{"drain-grace":2000,"grace-to-answer":20,"start-capacity":0.3,"warm-up":9000,
                  "tip-multiple":3,"fall":1500,"ask-within":1000},
                  "classes":[{"name":"read","idempotency":"retryable","promise":250,"deadline":1000,"stream":false},
                  {"name":"save","idempotency":"fragile","promise":250,"deadline":1000,"stream":false}]}}
                """
            .formatted(port, discovery, list.replace("\"seq\":2", "\"seq\":1"), control));
    ProcessBuilder builder = new ProcessBuilder("sh", "deploy/serve.sh");
    builder.environment().put("BALANCER_CONFIG", config.toString());
    builder.environment().put("REHEARSAL", "target/cacheproxy.jsa");
    Process proxy = builder.inheritIO().start();
    try {
      for (int i = 0; i < REQUESTS; i += 10) {
        talk(port, i);
        call(control, i % 20 == 0 ? "GET /ops/stats" : "GET /ops/readiness", "");
        call(control, "PUT /ops/cache-nodes/" + (i % 20 == 0 ? "down" : "up"), "s-2");
      }
    } finally {
      proxy.destroy();
      proxy.waitFor(30, TimeUnit.SECONDS);
      Files.delete(config);
    }
    System.exit(0);
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  /** What an operator asks of it. */
  private static void call(int port, String call, String body) throws IOException {
    try (Socket s = new Socket("127.0.0.1", port);
        BufferedReader in = reader(s)) {
      s.setSoTimeout(5000);
      write(
          s.getOutputStream(),
          call + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      while (in.readLine() != null) {
        // to its end
      }
    }
  }

  /** Ten commands on one connection; waits for the proxy to come up. */
  private static void talk(int port, int from) throws Exception {
    Socket socket = null;
    for (int tries = 0; socket == null; tries++) {
      try {
        socket = new Socket("127.0.0.1", port);
      } catch (IOException e) {
        if (tries == 200) {
          throw e;
        }
        Thread.sleep(50);
      }
    }
    try (Socket s = socket;
        BufferedReader in = reader(s)) {
      s.setSoTimeout(5000);
      for (int i = from; i < from + 10; i++) {
        String flags = " Oid" + i + " Pc=" + (i % 10 == 9 ? "save" : "read") + ",t=a,d=900\r\n";
        String key = Integer.toHexString(i * 7919 + 1);
        write(
            s.getOutputStream(),
            i % 10 == 9 ? "ms " + key + " 2" + flags + "hi\r\n" : "mg " + key + " v" + flags);
        if (in.readLine().startsWith("VA")) {
          in.readLine();
        }
      }
      write(s.getOutputStream(), "hello\r\n");
    }
  }

  private static String host(String name, String dial, String kind) {
    return "{\"host\":\""
        + name
        + "\",\"dial\":\""
        + dial
        + "\",\"site\":\"z\",\"class\":\""
        + kind
        + "\",\"block\":0,\"health\":\"up\",\"share\":1,\"born_ms\":0}";
  }

  private static String serve(Script script) throws IOException {
    ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    start(
        () -> {
          while (true) {
            Socket socket = server.accept();
            start(() -> script.run(reader(socket), socket.getOutputStream()));
          }
        });
    return "127.0.0.1:" + server.getLocalPort();
  }

  private interface Task {
    void run() throws IOException;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the proxy has ended
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
