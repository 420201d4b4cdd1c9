package cacheproxy.model;

import cacheproxy.model.LoopModel.Plan;
import cacheproxy.overload.CpuLoadShedder;
import java.util.Locale;

/**
 * A command of docs/overload-measured.md: requests in time by load and share of a core, with the
 * rules and without.
 */
public final class LoopTable {
  private static final double SERVED_MS = 0.8;
  private static final double AIM_MS = 250;
  private static final int SEEDS = 3;

  private LoopTable() {}

  public static void main(String[] args) {
    System.out.println("share  refusal  offered  in time  refused  without the rules, in time");
    for (double share : new double[] {1, 0.4}) {
      for (double part : new double[] {0.125, 0.025}) {
        for (int offered : new int[] {1200, 1300, 1500, 1900, 2500}) {
          // Costs by the share, so that 1,250 a second fit in each case.
          Plan plan = Plan.of(SERVED_MS * share, SERVED_MS * share * part, offered).share(share);
          double[] with = play(plan, true);
          System.out.printf(
              Locale.ROOT,
              "%5.2f  %7.3f  %7d  %7.0f  %7.0f  %7.0f%n",
              share,
              part,
              offered,
              with[0],
              with[1],
              play(plan, false)[0]);
        }
      }
    }
  }

  /** In time and refusals a second, from the fifth second to the twentieth. */
  private static double[] play(Plan plan, boolean rules) {
    double[] sums = new double[2];
    for (long seed = 1; seed <= SEEDS; seed++) {
      CpuLoadShedder budget =
          rules ? new CpuLoadShedder(CpuLoadShedder.targetDelayMs(AIM_MS)) : null;
      for (LoopModel.Second s :
          new LoopModel(plan, budget, LoopModel.Gate.module(AIM_MS, 1000, seed), seed)
              .play(20)
              .subList(5, 20)) {
        sums[0] += s.inTime / 15.0 / SEEDS;
        sums[1] += s.refusals / 15.0 / SEEDS;
      }
    }
    return sums;
  }
}
