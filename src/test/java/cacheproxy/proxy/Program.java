package cacheproxy.proxy;

import cacheproxy.fleet.ProxyProcess;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/** The proxy as a process of its own, with a bound on its descriptors that the system keeps. */
final class Program implements AutoCloseable {
  final Process process;
  final int port;
  private final Path file;
  private final Path log;

  /** {@code descriptors}: 0 leaves the system's own bound. */
  Program(Path folder, String config, int descriptors, String... command) throws IOException {
    this(folder, "config.json", freePort(), config, descriptors, command);
  }

  /** Beside another one, at its port. */
  Program(Path folder, int port, String config, String... command) throws IOException {
    this(folder, "beside.json", port, config, 0, command);
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return free.getLocalPort();
    }
  }

  private Program(
      Path folder, String name, int port, String config, int descriptors, String... command)
      throws IOException {
    this.port = port;
    file = folder.resolve(name);
    configure(config);
    log = folder.resolve(name + ".log");
    Files.deleteIfExists(log);
    process =
        ProxyProcess.launch(
            file, folder, log, descriptors, List.of(String.join(" ", command).split(" ")));
  }

  /** Writes the configuration, with the program's port in place of 0. */
  void configure(String config) throws IOException {
    Files.writeString(file, config.replace("127.0.0.1:0", "127.0.0.1:" + port));
  }

  /** Descriptors that the process holds, as the system counts them. */
  int descriptors() throws IOException {
    try (Stream<Path> held = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
      return (int) held.count();
    }
  }

  void signal(String name) throws Exception {
    int rc = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    if (rc != 0) {
      throw new IOException("kill -" + name + ": " + rc);
    }
  }

  boolean hasLogged(String text) {
    try {
      return log().stream().anyMatch(l -> l.contains(text));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  List<String> log() throws IOException {
    return Files.readAllLines(log);
  }

  /** A connection; waits for the proxy to come up. */
  Peer.Line connect() throws Exception {
    return connect("127.0.0.1");
  }

  /** A connection that comes from this loopback address. */
  Peer.Line connect(String from) throws Exception {
    long end = System.nanoTime() + Stage.PATIENCE.toNanos();
    while (true) {
      try {
        return new Peer.Line(
            new Socket("127.0.0.1", port, InetAddress.getByName(from), 0),
            new ConcurrentLinkedQueue<>());
      } catch (IOException e) {
        if (System.nanoTime() > end || !process.isAlive()) {
          throw e;
        }
        Thread.sleep(20);
      }
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
