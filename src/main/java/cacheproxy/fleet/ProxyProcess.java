package cacheproxy.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One real proxy: its directory, its configuration, its process and the faults applied to the
 * process. Not thread-safe.
 */
public final class ProxyProcess {
  /** State of the process, as the rig knows it. */
  enum State {
    DOWN,
    STARTING,
    SERVING,
    PAUSED,
    SLOWED,
    LEAVING
  }

  private final int number;
  private final Path directory;
  private final Path config;
  private final Path settings;
  private final String mainClass;
  private final Path log;
  private final InetSocketAddress listen;
  private Process process;

  /**
   * Second process at the same addresses until it takes over from the first one, or null if there
   * is none.
   */
  private Process successor;

  /** Stops and continues the process in turns while it is slowed, or null. */
  private Thread throttleThread;

  private volatile State state = State.DOWN;
  private volatile boolean impaired;
  private volatile double impairedMs = Double.NEGATIVE_INFINITY;

  /**
   * Creates the proxy's directory and writes its configuration files; {@link #start} starts the
   * process.
   *
   * @param number number of the proxy, from 0
   * @param rigDirectory directory of the rig
   * @param listen address for clients
   * @param config configuration as JSON
   * @param settings contents of the operator's settings file, or null to run without one
   * @param main main class of the process: that of the program, or a test wrapper around it
   */
  ProxyProcess(
      int number,
      Path rigDirectory,
      InetSocketAddress listen,
      String config,
      String settings,
      String main)
      throws IOException {
    this.mainClass = main;
    this.number = number;
    this.listen = listen;
    directory = Files.createDirectory(rigDirectory.resolve("n" + number));
    this.config = rigDirectory.resolve("n" + number + ".json");
    Files.writeString(this.config, config);
    log = rigDirectory.resolve("n" + number + ".log");
    this.settings = settings == null ? null : rigDirectory.resolve("n" + number + ".toml");
    if (settings != null) {
      Files.writeString(this.settings, settings);
    }
  }

  int number() {
    return number;
  }

  InetSocketAddress listen() {
    return listen;
  }

  State state() {
    return state;
  }

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Whether the process has ended although the rig did not stop it. */
  boolean diedUnexpectedly() {
    return state != State.DOWN && state != State.LEAVING && !isRunning();
  }

  /**
   * Starts the process.
   *
   * @param keep whether to keep the contents of its directory; otherwise the directory is emptied
   */
  void start(boolean keep) throws IOException {
    if (isRunning()) {
      throw new IOException("proxy n" + number + " is already running");
    }
    if (!keep) {
      Fleet.deleteRecursively(directory);
      Files.createDirectory(directory);
    }
    process = launch(config, directory, log, 0, command());
    state = State.STARTING;
  }

  private List<String> command() {
    List<String> command =
        new ArrayList<>(
            List.of(
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-Dio.netty.jfr.enabled=false",
                mainClass,
                "serve"));
    if (settings != null) {
      command.addAll(List.of("--settings", settings.toString()));
    }
    return command;
  }

  /**
   * Starts a JVM with the class path of this process and with its own configuration and directory.
   *
   * @param fileDescriptorLimit limit of its open file descriptors, or 0 for the limit of this
   *     process
   * @param arguments JVM options, main class and program arguments
   */
  public static Process launch(
      Path config, Path folder, Path log, int fileDescriptorLimit, List<String> arguments)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "sh",
                "-c",
                (fileDescriptorLimit == 0 ? "" : "ulimit -n " + fileDescriptorLimit + "; ")
                    + "exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    // without this option, the JVM raises its limit as far as it may
    command.addAll(fileDescriptorLimit == 0 ? List.of() : List.of("-XX:-MaxFDLimit"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.addAll(arguments);
    ProcessBuilder program = new ProcessBuilder(command);
    program.environment().put("BALANCER_CONFIG", config.toString());
    program.environment().put("TMPDIR", folder.toString());
    return program
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }

  /**
   * Waits until the proxy answers a no-op request of a client. Returns false on time-out or if the
   * process has ended.
   */
  boolean awaitReady(double timeoutMs) throws InterruptedException {
    long end = System.nanoTime() + (long) (timeoutMs * 1e6);
    while (System.nanoTime() < end && isRunning()) {
      try (Socket socket = new Socket()) {
        socket.connect(listen, 1000);
        socket.setSoTimeout(1000);
        socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
        if (new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII)
            .equals("MN\r\n")) {
          if (state == State.STARTING) {
            state = State.SERVING;
          }
          return true;
        }
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
    return false;
  }

  /**
   * Starts a second process of this proxy in the same directory, which is to take over from the
   * first one.
   */
  void startSuccessor(Path configFile) throws IOException {
    successor = launch(configFile, directory, log, 0, command());
  }

  /**
   * Sends SIGTERM to the old process, waits for its end and makes the second process the current
   * one. Returns whether the old process ended in time.
   */
  boolean completeTakeover(double timeoutMs) throws InterruptedException {
    Process old = process;
    old.destroy();
    boolean ended = old.waitFor((long) timeoutMs, TimeUnit.MILLISECONDS);
    process = successor;
    successor = null;
    return ended;
  }

  private void signal(String name) throws IOException, InterruptedException {
    if (!isRunning()
        || new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor()
            != 0) {
      throw new IOException("proxy n" + number + ": signal SIG" + name + " could not be sent");
    }
  }

  /** Stops the process with SIGSTOP until {@link #resume}. */
  void pause() throws IOException, InterruptedException {
    stopThrottling();
    signal("STOP");
    state = State.PAUSED;
  }

  void resume() throws IOException, InterruptedException {
    stopThrottling();
    signal("CONT");
    state = State.SERVING;
  }

  /**
   * Lets the process run only for the given share of each second, from 0 to 1, until {@link
   * #resume}.
   */
  void throttle(double share) {
    state = State.SLOWED;
    throttleThread =
        new Thread(
            () -> {
              try {
                while (!Thread.currentThread().isInterrupted()) {
                  signal("STOP");
                  Thread.sleep((long) (1000 * (1 - share)));
                  signal("CONT");
                  Thread.sleep((long) (1000 * share));
                }
              } catch (IOException | InterruptedException e) {
                // The process has ended, or the rig stopped the throttling.
              }
            },
            "throttle n" + number);
    throttleThread.setDaemon(true);
    throttleThread.start();
  }

  private void stopThrottling() throws InterruptedException {
    if (throttleThread != null) {
      throttleThread.interrupt();
      throttleThread.join(2000);
      throttleThread = null;
    }
  }

  /** Whether the kernel reports the process as stopped, which confirms that SIGSTOP took effect. */
  boolean isStopped() throws IOException {
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
  }

  /** Kills the process and its successor with SIGKILL, as in a crash. */
  void kill() throws InterruptedException {
    stopThrottling();
    state = State.DOWN;
    for (Process p : new Process[] {process, successor}) {
      if (p != null) {
        p.destroyForcibly();
        p.waitFor(5, TimeUnit.SECONDS);
      }
    }
  }

  /** Sends SIGTERM, which starts a graceful shutdown. */
  void terminate() throws InterruptedException {
    stopThrottling();
    state = State.LEAVING;
    process.destroy();
  }

  /** Waits for the end of the process. Returns false on time-out. */
  boolean awaitExit(double timeoutMs) throws InterruptedException {
    return process == null || process.waitFor((long) timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** CPU time of the process since its start, in milliseconds. */
  double cpuMs() {
    return process == null
        ? 0
        : process.info().totalCpuDuration().map(d -> d.toNanos() / 1e6).orElse(0.0);
  }

  /** Records that a fault of the rig impairs the process from now on. */
  void markImpaired(double nowMs) {
    impaired = true;
    impairedMs = nowMs;
  }

  /**
   * Records that the fault has ended. Attempts that were open before this time still count as
   * impaired.
   */
  void clearImpaired(double nowMs) {
    if (impaired) {
      impaired = false;
      impairedMs = nowMs;
    }
  }

  /** Whether a fault of the rig impaired the process at any time since {@code atMs}. */
  boolean impairedSince(double atMs) {
    return impaired || impairedMs >= atMs;
  }

  String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }
}
