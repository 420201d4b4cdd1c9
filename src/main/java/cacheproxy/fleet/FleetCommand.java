package cacheproxy.fleet;

import cacheproxy.load.LoadReport;
import cacheproxy.load.ResultRecorder;
import cacheproxy.site.Scenario;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code fleet}, and its preset {@code demo}. */
@Command(
    name = "fleet",
    sortOptions = false,
    mixinStandardHelpOptions = true,
    subcommands = FleetWatch.class,
    description = {
      "Starts a simulated site (cache nodes, an origin and discovery) on loopback addresses, real proxy processes in front",
      "of it, a relay for the datagrams between the proxies, and clients, and injects faults at set times. At the end it prints",
      "the load report, each proxy's view of the others next to their actual state, and the ledger's result. Exit code: 0 if",
      "every rule held; 1 if a rule was broken, a proxy did not start or ended unexpectedly, or a fault could not be carried",
      "out; 2 for invalid arguments."
    })
public class FleetCommand implements Callable<Integer> {
  /**
   * Preset of {@code fleet}: two proxies without membership, and a cache node that stalls halfway
   * through the run.
   */
  @Command(
      name = "demo",
      sortOptions = false,
      mixinStandardHelpOptions = true,
      description = {
        "Starts a simulated site (cache nodes, an origin and discovery) on loopback addresses, real proxies in front of it, and",
        "clients. One cache node stalls halfway through the run. At the end it prints the load report and the ledger's result.",
        "Exit code: 0 if every rule held, 1 if a rule was broken or a proxy did not start."
      })
  static final class DemoCommand extends FleetCommand {
    DemoCommand() {
      proxies = 2;
      fault = "stall";
      settings = "";
    }
  }

  private static final List<String> FAULT_NAMES =
      List.of("stall", "crash", "drain", "silent", "none");

  @Option(
      names = "--nodes",
      description = "Number of cache nodes, 1 to 200 (default: ${DEFAULT-VALUE}).")
  int nodes = 12;

  @Option(
      names = "--proxies",
      description = "Number of proxy processes, 1 to 32 (default: ${DEFAULT-VALUE}).")
  int proxies = 8;

  @Option(
      names = "--rate",
      description = "Requests per second, 1 to 20000 (default: ${DEFAULT-VALUE}).")
  double rate = 200;

  @Option(
      names = "--seconds",
      description = "Duration of the load in seconds, 1 to 3600 (default: ${DEFAULT-VALUE}).")
  double seconds = 20;

  @Option(
      names = "--seed",
      description =
          "Seed of the site, the load, the link faults and the choice of a fault's targets (default: ${DEFAULT-VALUE}).")
  long seed = 1;

  @Option(
      names = "--fault",
      description =
          "Fault of one cache node halfway through the run: stall, crash, drain, silent or none (default: ${DEFAULT-VALUE}).")
  String fault = "none";

  @Option(
      names = "--scenario",
      paramLabel = "FILE",
      description = "TOML file of faults and their times; replaces --fault (docs/fleet-rig.md).")
  Path scenario;

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description =
          "Settings file of every proxy. Without it, fleet enables [membership] and demo uses no settings.")
  Path settingsFile;

  @Option(
      names = "--no-views",
      description =
          "Does not poll the proxies for their views, so that the report shows their own CPU use.")
  boolean noViews;

  @Option(names = "--json", paramLabel = "FILE", description = "Writes the report as JSON.")
  Path jsonFile;

  @Option(
      names = "--html",
      paramLabel = "FILE",
      description = "Writes the report as an HTML page with plots.")
  Path htmlFile;

  String settings = "[membership]\non = true\n";

  /**
   * Runs the command. Returns the exit code: 0 if all rules held, 1 if not or if the run failed, 2
   * for invalid arguments.
   */
  public static int run(boolean demo, String... args) {
    String name = demo ? "demo" : "fleet";
    return new CommandLine(demo ? new DemoCommand() : new FleetCommand())
        .setParameterExceptionHandler(
            (e, parsed) -> {
              System.err.println(
                  name
                      + ": "
                      + e.getMessage().lines().findFirst().orElse("")
                      + " (see "
                      + name
                      + " --help)");
              return 2;
            })
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              boolean bad = e instanceof Scenario.InvalidScenarioException;
              System.err.println(
                  bad || e instanceof Fleet.FleetException
                      ? e.getMessage()
                      : name + " failed: " + e);
              return bad ? 2 : 1;
            })
        .execute(args);
  }

  @Override
  public Integer call() throws Exception {
    if (nodes < 1
        || nodes > 200
        || proxies < 1
        || proxies > Fleet.Configuration.MAX_PROXIES
        || !(rate >= 1 && rate <= 20_000)
        || !(seconds >= 1 && seconds <= 3600)
        || !FAULT_NAMES.contains(fault)) {
      System.err.println(
          "invalid arguments; allowed are --nodes 1 to 200, --proxies 1 to "
              + Fleet.Configuration.MAX_PROXIES
              + ", --rate 1 to 20000, --seconds 1 to 3600, --fault "
              + FAULT_NAMES);
      return 2;
    }
    Scenario plan = scenario();
    if (settingsFile != null) {
      if (!Files.isReadable(settingsFile)) {
        System.err.println(settingsFile + ": can't be read");
        return 2;
      }
      settings = Files.readString(settingsFile);
    }
    String proxySettings = settings.isEmpty() ? null : settings;
    // The proxies end with this process: the shutdown hook ends them on Ctrl-C, and the parent
    // watchdog ends them if this process is killed.
    try (Fleet fleet =
        new Fleet(
            new Fleet.Configuration(
                proxies, nodes, rate, seed, proxySettings, proxySettings != null))) {
      Thread hook =
          new Thread(
              () -> {
                try {
                  fleet.close();
                } catch (IOException e) {
                  System.err.println(
                      "could not stop all processes or delete all files of the fleet: " + e);
                }
              });
      Runtime.getRuntime().addShutdownHook(hook);
      try {
        return runScenario(fleet, plan);
      } finally {
        Runtime.getRuntime().removeShutdownHook(hook);
      }
    }
  }

  private Scenario scenario() throws Scenario.InvalidScenarioException {
    if (scenario != null) {
      try {
        return Scenario.parse(
            scenario.toString(), Files.readString(scenario), nodes, proxies, seed);
      } catch (IOException e) {
        throw new Scenario.InvalidScenarioException(
            scenario + ": can't be read: " + e.getClass().getSimpleName());
      }
    }
    return fault.equals("none")
        ? Scenario.NONE
        : Scenario.of(
            seconds * 500,
            Scenario.FaultType.valueOf(fault.toUpperCase(Locale.ROOT)),
            nodes / 2,
            2000);
  }

  private int runScenario(Fleet fleet, Scenario plan) throws Exception {
    if (noViews) {
      fleet.disableViewPolling();
    }
    fleet.start();
    System.out.println(
        nodes + " cache nodes, an origin, " + proxies + " proxies at " + fleet.targets());
    if (settings.contains("[membership]")) {
      StringBuilder controls = new StringBuilder();
      fleet.controlAddresses().forEach(c -> controls.append(' ').append(Fleet.hostAndPort(c)));
      System.out.println(
          "to watch their views: java -jar target/cacheproxy.jar fleet watch" + controls);
    }
    fleet.load(seconds);
    double startMs = fleet.nowMs();
    FleetReport report = new FleetReport(proxies, seconds, startMs);
    long[][] trafficBefore = traffic(fleet);
    double[] cpuMsBefore = IntStream.range(0, proxies).mapToDouble(fleet::cpuMs).toArray();
    List<String> faultErrors = new ArrayList<>();
    // One thread applies the faults in the order of their times, and also ends those that have a
    // duration.
    ScheduledExecutorService faults =
        Executors.newSingleThreadScheduledExecutor(
            r -> {
              Thread t = new Thread(r, "fleet-faults");
              t.setDaemon(true);
              return t;
            });
    for (Scenario.Event e : plan.events()) {
      faults.schedule(
          () -> applyFault(fleet, e, report, faultErrors, faults),
          (long) e.atMs(),
          TimeUnit.MILLISECONDS);
    }
    boolean isTerminal = System.console() != null;
    while (fleet.nowMs() - startMs < seconds * 1000) {
      Thread.sleep(1000);
      if (isTerminal) {
        System.err.printf(
            Locale.ROOT,
            "\r%.0f of %.0f s, %d attempts checked, %d faults   ",
            (fleet.nowMs() - startMs) / 1000,
            seconds,
            fleet.judgedAttempts(),
            report.faults());
      }
    }
    ResultRecorder results = fleet.endLoad(false);
    faults.shutdownNow();
    if (isTerminal) {
      System.err.println();
    }
    for (int p = 0; p < proxies; p++) {
      report.recordUsage(
          p,
          fleet.traffic(p)[0] - trafficBefore[p][0],
          fleet.traffic(p)[1] - trafficBefore[p][1],
          fleet.cpuMs(p) - cpuMsBefore[p]);
    }
    List<String> breaches = new ArrayList<>(fleet.violations());
    breaches.addAll(faultErrors);
    LoadReport load = new LoadReport(results, seconds, false);
    System.out.print(load.text());
    boolean membershipEnabled = settings.contains("[membership]");
    if (membershipEnabled) {
      System.out.print(report.text(fleet.observedViews()));
    }
    breaches.forEach(b -> System.out.println("BROKEN: " + b));
    boolean allRulesHeld =
        breaches.isEmpty() && fleet.judgedAttempts() > 0 && results.total().served() > 0;
    String verdict =
        (allRulesHeld ? "all rules held" : "RULES BROKEN OR A PROXY DIED")
            + ": "
            + fleet.judgedAttempts()
            + " tries judged, "
            + breaches.size()
            + " breaches, "
            + fleet.lateAnswers()
            + " answers too late to count as served, "
            + fleet.unjudgedSends()
            + " sends read too late to judge";
    System.out.println(verdict);
    if (jsonFile != null) {
      Files.writeString(
          jsonFile,
          report.json(load.json(), fleet.observedViews(), breaches, fleet.judgedAttempts()));
    }
    if (htmlFile != null) {
      Files.writeString(htmlFile, report.html(load.html(), fleet.observedViews(), verdict));
    }
    return allRulesHeld ? 0 : 1;
  }

  private long[][] traffic(Fleet fleet) throws Exception {
    long[][] all = new long[proxies][];
    for (int p = 0; p < proxies; p++) {
      all[p] = fleet.traffic(p);
    }
    return all;
  }

  private static void applyFault(
      Fleet fleet,
      Scenario.Event e,
      FleetReport report,
      List<String> faultErrors,
      ScheduledExecutorService faults) {
    try {
      report.recordFault(fleet.nowMs(), e);
      fleet.applyFault(e);
      if (e.type().targetsProxies() && e.durationMs() > 0) {
        faults.schedule(
            () -> {
              try {
                fleet.revertFault(e);
                report.recordFaultEnd(fleet.nowMs(), e);
              } catch (Exception failed) {
                faultErrors.add(
                    "the end of " + e.type() + " could not be carried out: " + failed.getMessage());
              }
            },
            (long) e.durationMs(),
            TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt(); // The load ended before the last fault of the scenario.
    } catch (Exception failed) {
      // A failed fault, such as the restart of a cache node that has not crashed, does not stop the
      // later faults.
      String line =
          "fault "
              + e.type().name().toLowerCase(Locale.ROOT)
              + " at "
              + e.atMs() / 1000
              + " s could not be carried out: "
              + failed.getMessage();
      System.err.println(line);
      if (e.type().targetsProxies()) {
        faultErrors.add(line);
      }
    }
  }

  /** Parses a control address of the form {@code HOST:PORT}. */
  static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      return new InetSocketAddress(
          java.net.InetAddress.getByName(text.substring(0, colon)),
          Integer.parseInt(text.substring(colon + 1)));
    } catch (IOException | RuntimeException e) {
      throw new CommandLine.TypeConversionException("'" + text + "' is not of the form HOST:PORT");
    }
  }
}
