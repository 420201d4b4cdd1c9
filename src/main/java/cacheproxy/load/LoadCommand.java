package cacheproxy.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The {@code load} command: generates an open-loop load and reports the results. */
@Command(
    name = "load",
    sortOptions = false,
    mixinStandardHelpOptions = true,
    description = {
      "Generates an open-loop load against proxies that speak the client protocol.",
      "Each request is sent when it is due, even if earlier ones are unanswered. Latencies are measured from the time at which a request was due."
    })
public final class LoadCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "HOST:PORT",
      arity = "0..*",
      description = "Target addresses; requests are distributed evenly.")
  private List<String> targets = new ArrayList<>();

  @Option(
      names = "--echo",
      description =
          "Use a built-in server that answers at once instead of an address, to measure the generator itself.")
  private boolean echo;

  @Option(
      names = "--rate",
      defaultValue = "200",
      description = "Requests per second where the multiple of the shape is 1 (${DEFAULT-VALUE}).")
  private double rate;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "Duration of the load in seconds (${DEFAULT-VALUE}).")
  private double seconds;

  @Option(
      names = "--shape",
      defaultValue = "steady",
      description = "Shape of the rate over time: " + LoadProfile.SYNTAX + ".")
  private String shape;

  @Option(names = "--fixed", description = "Space requests evenly instead of as a Poisson process.")
  private boolean evenlySpaced;

  @Option(
      names = "--keys",
      defaultValue = "10000",
      description = "Number of keys (${DEFAULT-VALUE}).")
  private int keyCount;

  @Option(
      names = "--zipf",
      defaultValue = "0.95",
      description = "Exponent of the Zipf distribution of keys (${DEFAULT-VALUE}).")
  private double zipf;

  @Option(
      names = "--drift",
      defaultValue = "0",
      description =
          "Ranks per second by which the popularity ranking shifts across the keys (${DEFAULT-VALUE}).")
  private double drift;

  @Option(
      names = "--hot",
      paramLabel = "PART:FROM_S:UNTIL_S",
      description = "PART of all requests (0 to 1) use one hot key between FROM_S and UNTIL_S.")
  private String hot;

  @Option(
      names = "--overtaken",
      paramLabel = "PART:FROM_S:UNTIL_S",
      description =
          "PART of all requests (0 to 1) go to the first address between FROM_S and UNTIL_S, in addition to its even share of the rest.")
  private String overtaken;

  @Option(
      names = "--retries",
      defaultValue = "2",
      description = "Maximum number of retries per request (${DEFAULT-VALUE}).")
  private int retries;

  @Option(
      names = "--patience",
      defaultValue = "1",
      description = "Factor on the timeouts of clients (${DEFAULT-VALUE}).")
  private double timeoutMultiplier;

  @Option(
      names = "--value-bytes",
      defaultValue = "64",
      description = "Size of the value of a write in bytes (${DEFAULT-VALUE}).")
  private int valueBytes;

  @Option(
      names = "--threads",
      defaultValue = "1",
      description = "Number of generator threads (${DEFAULT-VALUE}).")
  private int threads;

  @Option(
      names = "--connections",
      defaultValue = "1024",
      description = "Maximum number of connections per thread and address (${DEFAULT-VALUE}).")
  private int connections;

  @Option(
      names = "--tenant",
      defaultValue = "t",
      description = "Name of the tenant in the requests (${DEFAULT-VALUE}).")
  private String tenant;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description =
          "Seed of the random numbers; equal seeds give equal requests at equal times (${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--trace",
      paramLabel = "FILE",
      description = "Replay this trace instead of generating requests from rate, shape and keys.")
  private Path trace;

  @Option(
      names = "--columns",
      defaultValue = "",
      paramLabel = "NAME=COLUMN,..",
      description = "Names of the trace's columns for at_ms, class, key, bytes.")
  private String columns;

  @Option(
      names = "--speed",
      defaultValue = "1",
      description = "Replay speed as a multiple of the trace's own speed (${DEFAULT-VALUE}).")
  private double speed;

  @Option(
      names = "--record",
      paramLabel = "FILE",
      description = "Write the planned requests to this trace file and send nothing.")
  private Path record;

  @Option(
      names = "--json",
      paramLabel = "FILE",
      description = "Write the report to this file as JSON.")
  private Path json;

  @Option(
      names = "--html",
      paramLabel = "FILE",
      description = "Write the report to this file as an HTML page with plots.")
  private Path html;

  /**
   * Runs the command.
   *
   * @return the exit code: 0 on success, 1 if the load failed, 2 for invalid arguments
   */
  public static int run(String... args) {
    return new CommandLine(new LoadCommand())
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              System.err.println(
                  e instanceof UsageException ? e.getMessage() : "load failed: " + e);
              return e instanceof UsageException ? 2 : 1;
            })
        .setParameterExceptionHandler(
            (e, parsed) -> {
              System.err.println(
                  "load: " + e.getMessage().lines().findFirst().orElse("") + " (see load --help)");
              return 2;
            })
        .execute(args);
  }

  @Override
  public Integer call() throws UsageException, IOException, InterruptedException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    if (echo == !targets.isEmpty()) {
      throw new UsageException(
          "load: specify either one or more HOST:PORT or --echo (see load --help)");
    }
    for (String target : targets) {
      addresses.add(parseAddress(target));
    }
    requireInRange("--rate", rate, 0.001, 1e6);
    requireInRange("--seconds", seconds, 0.001, 86_400);
    requireInRange("--keys", keyCount, 1, KeyDistribution.MAX_KEYS);
    requireInRange("--zipf", zipf, 0, 10);
    requireInRange("--drift", drift, 0, 1e6);
    requireInRange("--retries", retries, 0, 100);
    requireInRange("--patience", timeoutMultiplier, 0.01, 600);
    requireInRange("--value-bytes", valueBytes, 0, 64 << 10);
    requireInRange("--threads", threads, 1, 64);
    requireInRange("--connections", connections, 1, 60_000);
    requireInRange("--speed", speed, 0.001, 1000);
    LoadProfile profile = LoadProfile.parse(shape);
    double[] hotKeyWindow = parseWindow("--hot", hot);
    double[] hotTargetWindow = parseWindow("--overtaken", overtaken);
    Supplier<Iterator<PlannedRequest>> plan;
    if (trace != null) {
      List<PlannedRequest> requests =
          Trace.read(
              trace, columns, speed, RequestClass.DEFAULTS, Math.max(1, addresses.size()), seed);
      plan = requests::iterator;
    } else {
      plan =
          () ->
              new RequestPlan(
                  RequestClass.DEFAULTS,
                  new ArrivalProcess(rate, profile, !evenlySpaced, seed),
                  new KeyDistribution(
                      keyCount,
                      zipf,
                      drift,
                      new KeyDistribution.HotKey(hotKeyWindow[0], hotKeyWindow[1], hotKeyWindow[2]),
                      seed + 1),
                  Math.max(1, addresses.size()),
                  new RequestPlan.HotTarget(
                      0, hotTargetWindow[0], hotTargetWindow[1], hotTargetWindow[2]),
                  valueBytes,
                  seconds * 1000,
                  seed + 2);
    }
    if (record != null) {
      Trace.write(record, plan.get(), RequestClass.DEFAULTS);
      return 0;
    }
    LoadGenerator.warmUp(trace == null ? rate : 1000, threads);
    EchoServer echoServer = echo ? new EchoServer() : null;
    if (echoServer != null) {
      addresses.add(echoServer.address());
    }
    ClientRetryPolicy defaults = ClientRetryPolicy.DEFAULT;
    LoadGenerator generator =
        new LoadGenerator(
            new LoadGenerator.Settings(
                addresses,
                RequestClass.DEFAULTS,
                plan,
                new ClientRetryPolicy(
                    retries,
                    defaults.attemptTimeoutFraction(),
                    defaults.backoffMs(),
                    defaults.retryAfterFraction(),
                    timeoutMultiplier),
                threads,
                connections,
                tenant,
                seed + 3));
    Thread mainThread = Thread.currentThread();
    Thread shutdownHook =
        new Thread(
            () -> {
              generator.stop();
              try {
                mainThread.join(); // lets the report be printed before the process exits
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    Thread progressThread = System.console() == null ? null : startProgressThread(generator);
    ResultRecorder results = generator.run();
    if (progressThread != null) {
      progressThread.interrupt();
    }
    if (echoServer != null) {
      echoServer.close();
    }
    LoadReport report = new LoadReport(results, generator.nowMs() / 1000, generator.stopped());
    System.out.print(report.text());
    if (json != null) {
      Files.writeString(json, report.json());
    }
    if (html != null) {
      Files.writeString(html, report.html());
    }
    if (!generator.stopped()) {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
    return 0;
  }

  private static Thread startProgressThread(LoadGenerator generator) {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  Thread.sleep(500);
                  LoadGenerator.Progress progress = generator.progress();
                  System.err.printf(
                      Locale.ROOT,
                      "\r%6.1f s  %d started  %d in flight  %d connections  ",
                      progress.seconds(),
                      progress.started(),
                      progress.inFlight(),
                      progress.connections());
                }
              } catch (InterruptedException e) {
                System.err.println();
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void requireInRange(String name, double value, double min, double max)
      throws UsageException {
    if (!(value >= min && value <= max)) {
      throw new UsageException(
          name
              + " "
              + formatNumber(value)
              + " is out of range; allowed are "
              + formatNumber(min)
              + " to "
              + formatNumber(max));
    }
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? String.valueOf((long) value)
        : String.valueOf(value);
  }

  private static double[] parseWindow(String name, String text) throws UsageException {
    if (text == null) {
      return new double[3];
    }
    String[] fields = text.split(":", -1);
    try {
      double share = Double.parseDouble(fields[0]);
      double from = Double.parseDouble(fields[1]);
      double until = Double.parseDouble(fields[2]);
      if (fields.length == 3 && share >= 0 && share <= 1 && from >= 0 && until >= from) {
        return new double[] {share, from * 1000, until * 1000};
      }
    } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
      // the exception below reports the value
    }
    throw new UsageException(
        name + " " + text + " is invalid; expected PART:FROM_S:UNTIL_S with PART from 0 to 1");
  }

  private static InetSocketAddress parseAddress(String text) throws UsageException {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 65_536) {
        InetSocketAddress address = new InetSocketAddress(text.substring(0, colon), port);
        if (!address.isUnresolved()) {
          return address;
        }
      }
    } catch (NumberFormatException e) {
      // the exception below reports the value
    }
    throw new UsageException(
        "address "
            + text
            + " is invalid; expected HOST:PORT with a resolvable host and a port from 1 to 65535");
  }
}
