package damsonworks.site;

import damsonworks.load.Arrivals;
import damsonworks.load.Generator;
import damsonworks.load.Keys;
import damsonworks.load.Kind;
import damsonworks.load.Patience;
import damsonworks.load.Plan;
import damsonworks.load.Report;
import damsonworks.load.Shape;
import damsonworks.load.Tally;
import damsonworks.load.Witness;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command {@code demo}: a site, real proxies as processes of their own and a load, judged at its end. */
@Command(name = "demo", sortOptions = false, mixinStandardHelpOptions = true, description = {
    "A site of cache nodes, an origin and discovery on loopback ports, real proxies in front of it and clients,",
    "with a cache node that stands still in the middle. Ends with the load's report and the ledger's verdict:",
    "exit code 0 where every rule held, 1 where one was broken or a proxy did not start."})
public final class Demo implements Callable<Integer> {
    private static final long READY_S = 30;
    private static final int KEYS = 5000;
    /** Of the keys, the most popular that all nodes have at the start. */
    private static final int STOCKED = 3000;

    @Option(names = "--nodes", defaultValue = "12", description = "Cache nodes, 1 to 200 (${DEFAULT-VALUE}).")
    private int nodes;
    @Option(names = "--proxies", defaultValue = "2", description = "Real proxies, 1 to 32 (${DEFAULT-VALUE}).")
    private int proxies;
    @Option(names = "--rate", defaultValue = "200", description = "Requests a second, 1 to 20000 (${DEFAULT-VALUE}).")
    private double rate;
    @Option(names = "--seconds", defaultValue = "20", description = "For how long, 1 to 3600 (${DEFAULT-VALUE}).")
    private double seconds;
    @Option(names = "--seed", defaultValue = "1", description = "Of the site and the load (${DEFAULT-VALUE}).")
    private long seed;
    @Option(names = "--fault", defaultValue = "stall", description = "In the middle: stall, crash, drain, silent or none (${DEFAULT-VALUE}).")
    private String fault;
    @Option(names = "--scenario", paramLabel = "FILE", description = "Faults by time, in TOML, in place of that one (docs/site.md).")
    private Path scenario;
    @Option(names = "--json", paramLabel = "FILE", description = "The load's report as JSON.")
    private Path json;
    @Option(names = "--html", paramLabel = "FILE", description = "The load's report as one page with plots.")
    private Path html;

    /** Exit code: 0 all rules held, 1 they did not or it failed, 2 unusable arguments. */
    public static int run(String... args) {
        return new CommandLine(new Demo()).setParameterExceptionHandler((e, parsed) -> {
            System.err.println("demo: " + e.getMessage().lines().findFirst().orElse("") + " (see demo --help)");
            return 2;
        }).setExecutionExceptionHandler((e, line, parsed) -> {
            System.err.println(e instanceof Scenario.BadScenario ? e.getMessage() : "demo failed: " + e);
            return e instanceof Scenario.BadScenario ? 2 : 1;
        }).execute(args);
    }

    @Override
    public Integer call() throws Exception {
        if (nodes < 1 || nodes > 200 || proxies < 1 || proxies > 32 || !(rate >= 1 && rate <= 20_000)
                || !(seconds >= 1 && seconds <= 3600) || !List.of("stall", "crash", "drain", "silent", "none").contains(fault)) {
            System.err.println("demo: allowed are --nodes 1 to 200, --proxies 1 to 32, --rate 1 to 20000, --seconds 1 to 3600,"
                    + " --fault stall, crash, drain, silent or none");
            return 2;
        }
        Scenario plan = scenario();
        Path folder = Files.createTempDirectory("demo");
        List<Process> running = new ArrayList<>();
        Thread hook = new Thread(() -> running.forEach(Process::destroyForcibly));
        Runtime.getRuntime().addShutdownHook(hook);
        try (Site site = new Site(Site.Plan.of(nodes, seed))) {
            site.stock(IntStream.range(0, STOCKED).mapToObj(Keys::ofRank).toList());
            List<InetSocketAddress> targets = new ArrayList<>();
            for (int p = 0; p < proxies; p++) {
                int port = freePort();
                running.add(start(folder, p, site.config(p, proxies, port, Kind.USUAL)));
                targets.add(new InetSocketAddress("127.0.0.1", port));
            }
            Generator.rehearse(rate, 1); // while the proxies start
            for (int p = 0; p < proxies; p++) {
                if (!ready(targets.get(p), running.get(p))) {
                    System.err.println("demo: proxy n" + p + " does not serve: " + Files.readString(folder.resolve("n" + p + ".log")));
                    return 1;
                }
            }
            System.out.println(nodes + " cache nodes, an origin, " + proxies + " proxies at " + targets);
            Tally tally = load(site, targets, plan);
            Report report = new Report(tally, seconds, false);
            System.out.print(report.text());
            if (json != null) {
                Files.writeString(json, report.json());
            }
            if (html != null) {
                Files.writeString(html, report.html());
            }
            return verdict(site, tally, running);
        } finally {
            running.forEach(Process::destroy);
            for (Process p : running) {
                if (!p.waitFor(5, TimeUnit.SECONDS)) {
                    p.destroyForcibly();
                }
            }
            Runtime.getRuntime().removeShutdownHook(hook);
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
    }

    private Scenario scenario() throws Scenario.BadScenario {
        if (scenario != null) {
            try {
                return Scenario.parse(scenario.toString(), Files.readString(scenario), nodes, seed);
            } catch (IOException e) {
                throw new Scenario.BadScenario(scenario + ": can't be read: " + e.getClass().getSimpleName());
            }
        }
        return fault.equals("none") ? Scenario.NONE : Scenario.of(seconds * 500, Scenario.What.valueOf(fault.toUpperCase(Locale.ROOT)),
                nodes / 2, 2000);
    }

    private Tally load(Site site, List<InetSocketAddress> targets, Scenario plan) throws Exception {
        Ledger ledger = site.ledger();
        Witness witness = new Witness() {
            @Override
            public void sent(String id, Kind kind, String idempotency, double waitsMs) {
                Ledger.Effect effect = kind.safe() ? Ledger.Effect.SAFE : kind.keyed() ? Ledger.Effect.KEYED : Ledger.Effect.UNSAFE;
                synchronized (ledger) {
                    ledger.taken(id, effect, idempotency, site.nowMs(), site.nowMs() + waitsMs);
                }
            }

            @Override
            public void ended(String id, Patience.End end, boolean gaveUp) {
                synchronized (ledger) {
                    switch (end) {
                        case SERVED -> ledger.told(id, Ledger.Told.SERVED, site.nowMs());
                        case REFUSED -> ledger.told(id, Ledger.Told.REFUSED, site.nowMs());
                        case FAILED -> ledger.told(id, Ledger.Told.FAILED, site.nowMs());
                        case LOST, UNCONNECTED -> {
                            if (gaveUp) { // its time and the slack on sockets are over with no answer: settled as such
                                return;
                            }
                            ledger.cutOff(id, site.nowMs());
                        }
                    }
                }
            }

            @Override
            public void crossed(String id) {
                synchronized (ledger) {
                    ledger.left(id);
                }
            }
        };
        Generator generator = new Generator(new Generator.Settings(targets, Kind.USUAL, () -> new Plan(Kind.USUAL,
                new Arrivals(rate, new Shape.Steady(), true, seed), new Keys(KEYS, 0.95, 0, Keys.Hot.NONE, seed + 1), targets.size(),
                Plan.Overtaken.NONE, 64, seconds * 1000, seed + 2), Patience.USUAL, 1, 512, "t", seed + 3, witness));
        long began = System.nanoTime();
        Thread faults = new Thread(() -> {
            try {
                for (Scenario.Event e : plan.events()) {
                    double wait = e.atMs() - (System.nanoTime() - began) / 1e6;
                    Thread.sleep((long) Math.max(0, wait));
                    carryOut(site, e);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt(); // the load is over before the scenario is
            }
        });
        faults.setDaemon(true);
        faults.start();
        Tally tally = generator.run();
        faults.interrupt();
        faults.join();
        return tally;
    }

    /** One that fails, as a restart of what has not crashed, does not keep the next from coming. */
    private static void carryOut(Site site, Scenario.Event e) throws InterruptedException {
        try {
            site.play(e);
        } catch (InterruptedException interrupted) {
            throw interrupted;
        } catch (Exception failed) {
            System.err.println("fault " + e + " could not be carried out: " + failed.getMessage());
        }
    }

    private static int verdict(Site site, Tally tally, List<Process> running) throws InterruptedException {
        Thread.sleep(1500); // what is still under way at the nodes, and the last requests' time
        List<Breach> breaches = site.judge();
        for (Breach b : breaches) {
            System.out.println("BROKEN: " + b);
        }
        long dead = running.stream().filter(p -> !p.isAlive()).count();
        long judged;
        synchronized (site.ledger()) {
            judged = site.ledger().judged();
        }
        boolean held = breaches.isEmpty() && dead == 0 && judged > 0 && tally.whole().served() > 0;
        System.out.println((held ? "all rules held" : "RULES BROKEN OR A PROXY DIED") + ": " + judged + " tries judged, "
                + breaches.size() + " breaches, " + dead + " proxies dead");
        return held ? 0 : 1;
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    private static Process start(Path folder, int number, String config) throws IOException {
        Path file = folder.resolve("n" + number + ".json");
        Files.writeString(file, config);
        Path own = Files.createDirectory(folder.resolve("tmp" + number));
        ProcessBuilder serve = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-Dio.netty.jfr.enabled=false", "-cp",
                System.getProperty("java.class.path"), "damsonworks.Main", "serve");
        serve.environment().put("BALANCER_CONFIG", file.toString());
        serve.environment().put("TMPDIR", own.toString());
        return serve.redirectErrorStream(true).redirectOutput(folder.resolve("n" + number + ".log").toFile()).start();
    }

    private static boolean ready(InetSocketAddress at, Process process) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S);
        while (System.nanoTime() < end && process.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(at, 1000);
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readNBytes(4), StandardCharsets.US_ASCII).equals("MN\r\n")) {
                    return true;
                }
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        return false;
    }
}
