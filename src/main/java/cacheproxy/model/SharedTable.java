package cacheproxy.model;

import cacheproxy.model.SharedModel.Plan;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * The tables of docs/shared-state-measured.md, in virtual time: {@code node}, {@code cold}, and
 * {@code thousand}, which takes minutes.
 */
final class SharedTable {
  private static final int SEEDS = 10;
  private static final int SEEDS_OF_A_THOUSAND = 2;

  private SharedTable() {}

  public static void main(String[] args) {
    List<String> which = args.length == 0 ? List.of("node", "cold") : List.of(args);
    if (which.contains("node")) {
      for (int n : new int[] {8, 14, 32, 100}) {
        node(n);
      }
    }
    if (which.contains("thousand")) {
      node(1000);
    }
    if (which.contains("cold")) {
      for (String fault : List.of("whole", "halves", "one alone", "losses 50%")) {
        cold(fault);
      }
    }
  }

  private static Plan plan(int n, int seed, boolean sharing) {
    return switch (n) {
      case 8 -> new Plan(8, 40, 4, 100, seed, sharing);
      case 14 -> new Plan(14, 70, 4, 40, seed, sharing);
      case 32 -> new Plan(32, 100, 4, 30, seed, sharing);
      default -> new Plan(n, 2 * n, 4, 20, seed, sharing);
    };
  }

  private static String spread(double[] of) {
    Arrays.sort(of);
    return String.format(
        Locale.ROOT, "%.2f, %.2f to %.2f", of[of.length / 2], of[0], of[of.length - 1]);
  }

  private static long bytes(SharedModel m, int n) {
    return IntStream.range(0, n).mapToLong(m::bytes).sum();
  }

  private static void node(int n) {
    int seeds = n > 100 ? SEEDS_OF_A_THOUSAND : SEEDS;
    double[] gone = new double[seeds];
    double[] back = new double[seeds];
    double[] lost = new double[seeds];
    double[] alone = new double[seeds];
    double[] trials = new double[seeds];
    double[] trialsAlone = new double[seeds];
    double[] calm = new double[seeds];
    double[] fault = new double[seeds];
    for (int seed = 0; seed < seeds; seed++) {
      SharedModel m = SharedModel.of(plan(n, seed, true)).run(10_000);
      SharedModel each = SharedModel.of(plan(n, seed, false)).run(20_000);
      long before = bytes(m, n);
      m.run(10_000);
      calm[seed] = (bytes(m, n) - before) / 10.0 / n;
      before = bytes(m, n);
      m.down(7);
      each.down(7);
      double began = m.nowMs();
      while (m.passOver(7) < 0.95 * n && m.nowMs() - began < 20_000) {
        m.run(10);
      }
      gone[seed] = (m.nowMs() - began) / 1000;
      m.run(Math.max(0, began + 4000 - m.nowMs()));
      each.run(4000);
      lost[seed] = m.lostAt(7);
      alone[seed] = each.lostAt(7);
      long tried = m.lostAttempts();
      long triedAlone = each.lostAttempts();
      m.run(16_000);
      each.run(16_000);
      trials[seed] = (m.lostAttempts() - tried) / 16.0;
      trialsAlone[seed] = (each.lostAttempts() - triedAlone) / 16.0;
      fault[seed] = (bytes(m, n) - before) * 1000 / (m.nowMs() - began) / n;
      m.up(7, false);
      began = m.nowMs();
      while (m.passOver(7) > 0.05 * n && m.nowMs() - began < 30_000) {
        m.run(10);
      }
      back[seed] = (m.nowMs() - began) / 1000;
    }
    System.out.printf(
        Locale.ROOT,
        "%d proxies: 95%% pass over after %s s; lost by it in 4 s %s, alone %s; trials a second %s, alone %s;"
            + " 95%% use it after %s s; bytes a second calm %s, with it %s%n",
        n,
        spread(gone),
        spread(lost),
        spread(alone),
        spread(trials),
        spread(trialsAlone),
        spread(back),
        spread(calm),
        spread(fault));
  }

  private static void cold(String fault) {
    for (int n : new int[] {8, 14, 32}) {
      double[] used = new double[SEEDS];
      double[] worst = new double[SEEDS];
      for (int seed = 0; seed < SEEDS; seed++) {
        SharedModel m = SharedModel.of(new Plan(n, 12, 2, 320.0 / n, seed, true));
        m.wanted(1, 5);
        m.run(15_000);
        switch (fault) {
          case "halves" -> m.cut((from, to) -> from % 2 != to % 2);
          case "one alone" -> m.cut((from, to) -> from == 0 || to == 0);
          case "losses 50%" -> m.wire(0.5, 0.1, 0);
          default -> {}
        }
        m.up(1, true);
        double could = m.couldHave(1, 9000) / 0.3 * 0.65; // its mean capacity over the nine seconds
        m.run(9000);
        used[seed] = m.coldSent() / could;
        worst[seed] = m.worstCold();
      }
      System.out.printf(
          Locale.ROOT,
          "cold, %s, %d proxies: used of what the tier may send %s; most in a window, of what makes it fall %s%n",
          fault,
          n,
          spread(used),
          spread(worst));
    }
  }
}
