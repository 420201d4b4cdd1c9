package cacheproxy.overload;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.LoopModel;
import cacheproxy.model.LoopModel.Plan;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The rules and the module's word against a processor that is not enough: 0.8 ms a request, so
 * 1,250 a second.
 */
class OverloadModelTest {
  private static final double SERVED_MS = 0.8;
  private static final double REFUSED_MS = 0.1;

  private static List<LoopModel.Second> play(Plan plan, boolean budget, long seed, int seconds) {
    return new LoopModel(
            plan,
            budget ? new CpuLoadShedder(CpuLoadShedder.targetMs(250)) : null,
            LoopModel.Gate.module(250, 1000, seed),
            seed)
        .play(seconds);
  }

  private static double inTime(List<LoopModel.Second> seconds, int from, int to) {
    return seconds.subList(from, to).stream().mapToInt(s -> s.inTime).sum() / (double) (to - from);
  }

  /**
   * In time, as a part of what {@code of} requests a second would be, between two seconds; by three
   * seeds. Without the rules all of them collapse, most for good: what is late is asked again, and
   * all that is served is late.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    // what happens,                            from, to, of,   least, without at most
    "a little more than there is room for,         5, 20, 1250, 0.90, 0.20",
    "a half more,                                  5, 20, 1250, 0.80, 0.05",
    "a half more on part of a core,                5, 20, 1250, 0.78, 0.05",
    "twice as much and refusals at a fortieth,     5, 20, 1250, 0.85, 0.05",
    "clients that ignore advice,                   5, 20, 1250, 0.65, 0.05",
    "a crowd of refusals,                          5, 20, 1250, 0.35, 0.05",
    "five seconds of twice as much are over,      12, 20, 1000, 0.97, 0.05",
    "a share that is halved for five seconds,     12, 20, 1000, 0.97, 0.50",
    "while it is halved,                           6, 10,  500, 0.60, 0.10",
    "a stop of two seconds is over,                9, 20, 1150, 0.96, 0.30",
    "a start four times as dear,                   4, 20, 1000, 0.97, 0.50"
  })
  void itDoesNotCollapse(String what, int from, int to, double of, double least, double without) {
    Plan plan =
        switch (what) {
          case "a little more than there is room for" -> Plan.of(SERVED_MS, REFUSED_MS, 1300);
          case "a half more" -> Plan.of(SERVED_MS, REFUSED_MS, 1500);
          case "a half more on part of a core" ->
              Plan.of(SERVED_MS * 0.4, REFUSED_MS * 0.4, 1500).share(0.4);
          case "twice as much and refusals at a fortieth" ->
              Plan.of(SERVED_MS, SERVED_MS / 40, 2500);
          case "clients that ignore advice" -> Plan.of(SERVED_MS, REFUSED_MS, 1600).honours(0, 2);
          case "a crowd of refusals" -> Plan.of(SERVED_MS, REFUSED_MS, 2500);
          case "five seconds of twice as much are over" ->
              Plan.of(
                  SERVED_MS,
                  REFUSED_MS,
                  1000,
                  1000,
                  1000,
                  1000,
                  1000,
                  2500,
                  2500,
                  2500,
                  2500,
                  2500,
                  1000);
          case "a stop of two seconds is over" ->
              Plan.of(SERVED_MS, REFUSED_MS, 1150).stopped(5000, 7000);
          case "a start four times as dear" ->
              Plan.of(SERVED_MS, REFUSED_MS, 1000).slowed(0, 2000, 0.25);
          default -> Plan.of(SERVED_MS, REFUSED_MS, 1000).slowed(5000, 10_000, 0.5);
        };
    for (long seed = 1; seed <= 3; seed++) {
      assertThat(inTime(play(plan, true, seed, 20), from, to) / of)
          .as("seed " + seed)
          .isGreaterThanOrEqualTo(least);
      assertThat(inTime(play(plan, false, seed, 20), from, to) / of)
          .as("seed " + seed)
          .isLessThanOrEqualTo(without);
    }
  }

  /** One in twenty is worth eight times as much: of them, all but a few are served. */
  @Test
  void whatIsWorthMostIsServed() {
    List<LoopModel.Second> seconds =
        play(Plan.of(SERVED_MS, REFUSED_MS, 2000), true, 1, 20).subList(5, 20);
    double part =
        seconds.stream().mapToInt(s -> s.rareInTime).sum()
            / (double) seconds.stream().mapToInt(s -> s.rareOffered).sum();
    assertThat(part).isGreaterThan(0.9);
  }

  /** Nobody is refused while all fit, not by a single long round either. */
  @Test
  void whatFitsIsTaken() {
    List<LoopModel.Second> seconds =
        play(Plan.of(SERVED_MS, REFUSED_MS, 800).stopped(5000, 5040), true, 1, 20);
    assertThat(seconds.stream().mapToInt(s -> s.refusals).sum()).isZero();
  }
}
