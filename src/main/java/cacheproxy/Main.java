package cacheproxy;

import cacheproxy.fleet.FleetCommand;
import cacheproxy.load.LoadCommand;
import cacheproxy.proxy.Proxy;
import cacheproxy.settings.CheckCommand;
import cacheproxy.simulator.SimulateCommand;
import java.util.Arrays;

/**
 * Command line: {@code serve} runs a proxy, {@code simulate} runs the simulator's protocol on
 * standard input and output, {@code load} generates load, {@code demo} and {@code fleet} run a site
 * with proxies, load and faults, {@code check} validates an operator's file. Classes are loaded
 * only for the command that needs them.
 */
public final class Main {
  /** Former name of {@code simulate}, accepted because deploy files of earlier versions use it. */
  private static final String FORMER_SIMULATE = "drill";

  private Main() {}

  /** Runs until the input ends ({@code simulate}) or the process is terminated ({@code serve}). */
  public static void main(String[] args) {
    if (args.length == 3 && args[0].equals("serve") && args[1].equals("--settings")) {
      Proxy.main(args[2]);
      return;
    }
    String[] rest = args.length > 0 ? Arrays.copyOfRange(args, 1, args.length) : args;
    switch (args.length == 1
            || args.length > 1 && !args[0].matches("serve|simulate|" + FORMER_SIMULATE)
        ? args[0]
        : "") {
      case "serve" -> Proxy.main(null);
      case "simulate", FORMER_SIMULATE -> System.exit(SimulateCommand.run());
      case "load" -> System.exit(LoadCommand.run(rest));
      case "demo" -> System.exit(FleetCommand.run(true, rest));
      case "fleet" -> System.exit(FleetCommand.run(false, rest));
      case "check" -> System.exit(CheckCommand.run(rest));
      default -> {
        System.err.println(
            "usage: java -jar cacheproxy.jar serve [--settings FILE] | simulate | load ... | demo ... | fleet ... | check FILE");
        System.exit(2);
      }
    }
  }
}
