package reviewtwo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * A case of the review: sets up a small site, causes a disruption unless TROUBLE=0, and judges what
 * clients, servers and the platform have seen.
 */
abstract class Case {
  private static final int BROKEN = 1;
  private static final int HELD = 0;
  private static final int COULD_NOT_RUN = 2;

  /** A case runs for 120 s at most; one that is stuck ends before that. */
  private static final int LIMIT_MS = 112_000;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Deque<AutoCloseable> started = new ArrayDeque<>();
  Record record;
  Path temporary;
  Path folder;

  /** Runs the case. Returns whether the rule held. */
  abstract boolean holds() throws Exception;

  /** Registers something that is closed at the end. */
  <T extends AutoCloseable> T using(T resource) {
    started.push(resource);
    return resource;
  }

  /** Settings of a proxy on a free port that knows the list as discovery has it now. */
  Settings settingsFor(Discovery discovery) throws IOException {
    Settings settings = new Settings();
    settings.listen = ProxyProcess.freeAddress("127.0.0.1");
    settings.discovery = discovery.address();
    settings.known = discovery.list();
    return settings;
  }

  /** Starts a proxy with these settings and its own private folder. */
  ProxyProcess startProxy(Settings settings, String folderName) throws IOException {
    Path log = temporary.resolve("proxy.log");
    Path ownFolder = temporary.resolve(folderName);
    return using(new ProxyProcess(settings.listen, settings.json(), ownFolder, log));
  }

  /** Runs a case from its main method and ends this process with the exit code of the verdict. */
  static void run(Case subject, String[] args) {
    int code = COULD_NOT_RUN;
    Server.start(
        () -> {
          Server.sleep(LIMIT_MS);
          System.err.println("the case did not end in time");
          System.exit(COULD_NOT_RUN); // the shutdown hook ends the proxies
        });
    try {
      subject.folder = Path.of(args[0]);
      subject.temporary = Files.createTempDirectory("review");
      subject.record = new Record(subject.folder.resolve("record.txt"));
      code = subject.judge();
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    } finally {
      subject.cleanUp();
    }
    System.exit(code);
  }

  private int judge() throws IOException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll)); // also when interrupted
    try {
      boolean held = holds();
      record.write(held ? "the rule held" : "the rule was broken");
      System.out.println((trouble ? "" : "without the disruption: ") + (held ? "held" : "BROKEN"));
      return held ? HELD : BROKEN;
    } catch (Exception e) {
      record.write("could not run: %s", e);
      System.err.println("the case could not run: " + e);
      return COULD_NOT_RUN;
    }
  }

  private synchronized void closeAll() {
    while (!started.isEmpty()) {
      try {
        started.pop().close();
      } catch (Exception e) {
        System.err.println("at the end: " + e);
      }
    }
  }

  private void cleanUp() {
    closeAll();
    try {
      copyLog();
      try (Stream<Path> files = Files.walk(temporary)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    } catch (Exception e) {
      System.err.println("temporary folder not removed: " + e);
    }
    if (record != null) {
      record.close();
    }
  }

  /** Appends the proxies' own log lines to the record; the verdict does not use them. */
  private void copyLog() throws IOException {
    Path log = temporary.resolve("proxy.log");
    if (Files.exists(log)) {
      Files.readAllLines(log).forEach(line -> record.write("log of a proxy: %s", line));
    }
  }
}
