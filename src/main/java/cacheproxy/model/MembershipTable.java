package cacheproxy.model;

import cacheproxy.membership.Mechanism;
import cacheproxy.membership.Timing;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * The figures of {@code docs/membership-measured.md} that come from virtual time: one table for
 * each argument.
 */
public final class MembershipTable {
  private MembershipTable() {}

  /** Arguments: any of death, heal, hour, detectors, parts. */
  public static void main(String[] args) {
    for (String table : args) {
      switch (table) {
        case "death" -> death();
        case "heal" -> heal();
        case "hour" -> hour();
        case "detectors" -> detectors();
        case "parts" -> parts();
        default ->
            throw new IllegalArgumentException(table + ": death, heal, hour, detectors or parts");
      }
    }
  }

  private static MembershipModel settled(int n, long seed, double loss, Mechanism... without) {
    MembershipModel m = new MembershipModel(n, Timing.DEFAULTS, seed, without).loss(loss);
    m.startAll();
    return m.run(10_000 + 60 * n);
  }

  private static String spread(double[] all) {
    Arrays.sort(all);
    return String.format(
        Locale.ROOT,
        "%5.1f %5.1f %5.1f",
        all[all.length / 2] / 1000,
        all[(int) (all.length * 0.99)] / 1000,
        all[all.length - 1] / 1000);
  }

  private static void death() {
    System.out.println(
        "seconds until all know of a death: tier, loss, p50, p99, most over 15 deaths (3 at 1,000)");
    for (int n : new int[] {8, 14, 16, 32, 100, 300, 1000}) {
      for (double loss : new double[] {0, 0.2}) {
        int deaths = n == 1000 ? 3 : 15;
        double[] known = new double[deaths];
        for (int d = 0; d < deaths; d++) {
          MembershipModel m = settled(n, d, loss);
          m.kill(d % n);
          m.run(n == 1000 ? 120_000 : 60_000);
          known[d] = m.accusers(d % n) == n - 1 ? m.knownAfterMs(d % n) : Double.POSITIVE_INFINITY;
        }
        System.out.printf(Locale.ROOT, "%5d %.1f  %s%n", n, loss, spread(known));
      }
    }
  }

  private static void heal() {
    System.out.println(
        "seconds from the heal of two halves after 20 s to one view: tier, p50, p99, most over 9 (3 at 300)");
    for (int n : new int[] {8, 14, 32, 100, 300}) {
      double[] healed = new double[n == 300 ? 3 : 9];
      for (int s = 0; s < healed.length; s++) {
        MembershipModel m = settled(n, s, 0).cut((now, from, to) -> from % 2 != to % 2);
        m.run(20_000).cut((now, from, to) -> false);
        healed[s] = m.untilAgreed(120_000);
      }
      System.out.printf(Locale.ROOT, "%5d  %s%n", n, spread(healed));
    }
  }

  private static void hour() {
    System.out.println(
        "an hour of 20% loss, each paused for 5 s some five times: tier, false verdicts, accusations, messages"
            + " and bytes a member a second");
    for (int n : new int[] {8, 14, 100}) {
      MembershipModel m = settled(n, 1, 0.2);
      java.util.SplittableRandom lots = new java.util.SplittableRandom(9);
      for (int s = 0; s < 3600; s++) {
        if (lots.nextDouble() < n * 5 / 3600.0) {
          m.pause(lots.nextInt(n), 5000);
        }
        m.run(1000);
      }
      double seconds = m.nowMs() / 1000;
      System.out.printf(
          Locale.ROOT,
          "%5d  %d  %d  %.1f  %.0f%n",
          n,
          m.falseVerdicts(),
          IntStream.range(0, n).map(i -> m.member(i).suspicionsRaised()).sum(),
          IntStream.range(0, n).mapToLong(i -> m.member(i).view(m.nowMs()).sentMessages()).sum()
              / seconds
              / n,
          IntStream.range(0, n).mapToLong(i -> m.member(i).sentBytes()).sum() / seconds / n);
    }
    System.out.println("calm: tier, bytes a member a second");
    for (int n : new int[] {2, 8, 14, 32, 100, 300, 1000}) {
      MembershipModel m = settled(n, 1, 0);
      long before = IntStream.range(0, n).mapToLong(i -> m.member(i).sentBytes()).sum();
      m.run(20_000);
      System.out.printf(
          Locale.ROOT,
          "%5d  %.0f%n",
          n,
          (IntStream.range(0, n).mapToLong(i -> m.member(i).sentBytes()).sum() - before)
              / 20.0
              / n);
    }
  }

  private static void detectors() {
    System.out.println(
        "a message from each to all: tier, loss, false verdicts an hour without and with a pause of 5 s every 12"
            + " minutes, known after p50 and most, bytes a member a second");
    for (int n : new int[] {14, 100, 1000}) {
      for (double loss : new double[] {0, 0.2}) {
        for (double[] of : new double[][] {{1000, 5000, 0}, {1000, Double.POSITIVE_INFINITY, 8}}) {
          Detectors.Figures calm =
              Detectors.play(n, of[0], of[1], of[2], loss, Double.POSITIVE_INFINITY, 3_600_000, 1);
          Detectors.Figures paused =
              Detectors.play(n, of[0], of[1], of[2], loss, 720_000, 3_600_000, 1);
          System.out.printf(
              Locale.ROOT,
              "%-16s %5d %.1f  %.0f  %.0f  %.1f %.1f  %.0f%n",
              of[2] == 0 ? "5 s of silence" : "phi 8",
              n,
              loss,
              calm.falsePerHour(),
              paused.falsePerHour(),
              calm.knownMedianMs() / 1000,
              calm.knownMostMs() / 1000,
              calm.bytesPerS());
        }
      }
    }
  }

  private static void parts() {
    System.out.println(
        "14 members, 10 seeds: false verdicts (the most who held one for dead) in 10 minutes of 20% loss; with a deaf one"
            + " for a minute; with one that stands still, is refuted and four more that stand still for 30 s; seconds until a death is known");
    Object[][] kinds = {
      {
        "SWIM (2002)",
        new Mechanism[] {
          Mechanism.LOCAL_HEALTH,
          Mechanism.CONFIRMATIONS,
          Mechanism.OBSERVER_REFUTATION,
          Mechanism.LOCAL_FAULT_DETECTION
        }
      },
      {"with Lifeguard's", new Mechanism[] {Mechanism.OBSERVER_REFUTATION}},
      {"without indirect", new Mechanism[] {Mechanism.INDIRECT_PROBES}},
      {"without doubt", new Mechanism[] {Mechanism.LOCAL_FAULT_DETECTION}},
      {"as built", new Mechanism[0]}
    };
    for (Object[] kind : kinds) {
      Mechanism[] without = (Mechanism[]) kind[1];
      long[] falses = new long[3];
      int[] worst = new int[3];
      double[] known = new double[10];
      for (int s = 0; s < 10; s++) {
        MembershipModel[] all = {
          settled(14, s, 0.2, without).run(600_000),
          settled(14, s, 0, without).cut((now, from, to) -> to == 0).run(60_000),
          settled(14, s, 0, without)
        };
        all[2].pause(13, 4000);
        all[2].run(3500);
        for (int p = 0; p < 4; p++) {
          all[2].pause(p, 30_000);
        }
        all[2].run(29_000);
        long before = all[2].falseVerdicts();
        all[2].run(10_000);
        for (int k = 0; k < 3; k++) {
          falses[k] += all[k].falseVerdicts() - (k == 2 ? before : 0);
          worst[k] = k == 2 ? 0 : Math.max(worst[k], all[k].worstFalse());
        }
        MembershipModel m = settled(14, s, 0, without);
        m.kill(3);
        known[s] = m.untilAgreed(120_000);
      }
      System.out.printf(
          Locale.ROOT,
          "%-18s %d (%d)   %d (%d)   %d   %s%n",
          kind[0],
          falses[0],
          worst[0],
          falses[1],
          worst[1],
          falses[2],
          spread(known));
    }
  }
}
