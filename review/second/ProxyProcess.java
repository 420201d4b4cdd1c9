package reviewtwo;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One proxy, started with the run command of the deploy file. */
final class ProxyProcess implements AutoCloseable {
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 30_000;

  private final Process process;
  final String address;

  /**
   * @param config the configuration, as JSON
   * @param folder private folder of the proxy, which becomes its TMPDIR
   */
  ProxyProcess(String address, String config, Path folder, Path log) throws IOException {
    this.address = address;
    Files.createDirectories(folder);
    Path file = Files.createTempFile(folder.getParent(), "config", ".json");
    Files.writeString(file, config);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh");
    builder.environment().put("BALANCER_CONFIG", file.toString());
    builder.environment().put("TMPDIR", folder.toString());
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.redirectInput(new File("/dev/null"));
    process = builder.start();
  }

  /**
   * A free port of a loopback address. It lies below the ports that the system gives to outgoing
   * connections, one of which could else take it before the proxy listens.
   */
  static String freeAddress(String ip) throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
        return ip + ":" + probe.getLocalPort();
      } catch (BindException e) {
        // In use: try another one.
      }
    }
    throw new IOException("no free port at " + ip);
  }

  /** Waits until the proxy answers {@code mn}. */
  void awaitReady() throws IOException {
    for (double untilMs = Record.nowMs() + 30_000; Record.nowMs() < untilMs; Server.sleep(50)) {
      if (!process.isAlive()) {
        throw new IOException("the proxy ended with exit code " + process.exitValue());
      }
      try (Client client = new Client(address)) {
        client.send("mn\r\n");
        if ("MN".equals(client.line(1000))) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
    }
    throw new IOException("the proxy at " + address + " was not ready within 30 s");
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
