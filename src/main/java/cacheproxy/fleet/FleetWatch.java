package cacheproxy.fleet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The command {@code fleet watch}: prints the views of running proxies side by side whenever one
 * changes.
 */
@Command(
    name = "watch",
    mixinStandardHelpOptions = true,
    description = {
      "Polls running proxies at their control addresses for their membership views, and prints the views side by side",
      "each time one has changed: A alive, ~ alive but not heard directly, ? suspect, X dead, l leaving, g gone, s starting,",
      ". unknown. A ! after the number marks a proxy that doubts its own reception. 'out:' lists the cache nodes that a proxy avoids",
      "because of reports from other proxies. Exit code: 0, or 1 if no proxy answered."
    })
final class FleetWatch implements Callable<Integer> {
  @Parameters(
      arity = "1..*",
      paramLabel = "HOST:PORT",
      description = "Control addresses of the proxies.")
  private List<String> addresses;

  @Option(
      names = "--seconds",
      defaultValue = "3600",
      description = "How long to watch, in seconds (default: ${DEFAULT-VALUE}).")
  private double seconds;

  @Override
  public Integer call() throws InterruptedException {
    List<InetSocketAddress> controlAddresses = new ArrayList<>();
    for (String a : addresses) {
      controlAddresses.add(FleetCommand.parseAddress(a));
    }
    long startNanos = System.nanoTime();
    String last = "";
    boolean answered = false;
    do {
      StringBuilder table = new StringBuilder();
      for (int i = 0; i < controlAddresses.size(); i++) {
        try {
          JsonObject view = Fleet.fetchView(controlAddresses.get(i));
          table.append(
              String.format(
                  "n%-3d%s ",
                  view.get("me").getAsInt(), view.get("doubtful").getAsBoolean() ? "!" : " "));
          for (JsonElement member : view.getAsJsonArray("members")) {
            String state = member.getAsJsonObject().get("state").getAsString();
            boolean direct = member.getAsJsonObject().get("direct").getAsBoolean();
            table
                .append(ObservedViews.symbol(state))
                .append(state.equals("alive") && !direct ? "~" : " ");
          }
          table.append(nodesOutByPeers(controlAddresses.get(i)));
          answered = true;
        } catch (IOException | RuntimeException e) {
          table.append(addresses.get(i)).append(" no answer");
        }
        table.append(System.lineSeparator());
      }
      if (!table.toString().equals(last)) {
        last = table.toString();
        System.out.printf(Locale.ROOT, "%.1f s%n%s", (System.nanoTime() - startNanos) / 1e9, last);
      }
      Thread.sleep(300);
    } while (System.nanoTime() - startNanos < seconds * 1e9);
    return answered ? 0 : 1;
  }

  /**
   * Lists the cache nodes that a proxy avoids because of reports from other proxies. Empty if there
   * are none or the proxy has no shared observations.
   */
  private static String nodesOutByPeers(InetSocketAddress control) {
    TreeSet<String> nodes = new TreeSet<>();
    try {
      for (JsonElement e : Fleet.fetchJson(control, "/ops/shared").getAsJsonArray("evidence")) {
        if (e.getAsJsonObject().get("out").getAsBoolean()) {
          nodes.add(e.getAsJsonObject().get("node").getAsString());
        }
      }
    } catch (IOException | RuntimeException e) {
      return ""; // the proxy has no shared observations, or did not answer
    }
    return nodes.isEmpty() ? "" : "  out: " + String.join(" ", nodes);
  }
}
