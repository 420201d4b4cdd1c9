package standins;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * One proxy as a process of its own, started by the command "run" of deploy/balancer.toml from the
 * root of the repository.
 */
public final class ProxyProcess implements AutoCloseable {
  private static final int READY_WITHIN_MS = 30_000;
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 30_000;

  private final RunRecord record;
  private final Path folder;
  private final int port;
  private final Process process;

  /**
   * Starts a proxy and waits until it answers "mn".
   *
   * @param folder an empty folder for the configuration, the log and TMPDIR
   * @param discovery address of discovery
   * @param known the list of cache nodes that the configuration contains, as JSON
   */
  public ProxyProcess(RunRecord record, Path folder, String discovery, String known, Settings settings)
      throws Exception {
    this.record = record;
    this.folder = folder;
    port = freePort();
    Path configuration = folder.resolve("config.json");
    Files.writeString(configuration, settings.configuration(port, discovery, known));
    Path temporary = Files.createDirectory(folder.resolve("tmp"));
    ProcessBuilder command = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/serve.sh");
    command.environment().put("BALANCER_NAME", "n0");
    command.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
    command.environment().put("BALANCER_DISCOVERY", discovery);
    command.environment().put("BALANCER_CONFIG", configuration.toString());
    command.environment().put("TMPDIR", temporary.toString());
    command.redirectErrorStream(true).redirectOutput(log().toFile());
    process = command.start();
    // Also if the driver is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    awaitReady();
    record.line("proxy   is ready, process %d", process.pid());
  }

  /** A free port below those that the system gives to outgoing connections. */
  private static int freePort() throws IOException {
    while (true) {
      int candidate = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", candidate));
        return candidate;
      } catch (BindException e) {
        // in use: another one
      }
    }
  }

  private Path log() {
    return folder.resolve("proxy.log");
  }

  private void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
    while (System.nanoTime() < end && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(address());
        socket.getOutputStream().write(Lines.bytes("mn\r\n"));
        if ("MN".equals(Lines.read(socket.getInputStream()))) {
          return;
        }
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
    throw new IllegalStateException("the proxy did not get ready: " + Files.readString(log()));
  }

  public InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    record.line("proxy   has been ended; its log:%n%s", Files.readString(log()));
  }
}
