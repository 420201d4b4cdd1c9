package cacheproxy.overload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the loop's rounds tell, and what a request is seen to cost. */
class CpuLoadShedderTest {
  /**
   * A round selected at 1000; the next selection is begun and ends at these times, with a timer due
   * then; a request is read at the last.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    // what,                                    begun, due,  ends,   read,  waited
    "it was ready: half of the round before,     1040, 1050, 1040.1, 1045,  24.95",
    "the loop slept until it came,               1040, 1090, 1060,   1062,  2",
    "the process stood still while it slept,     1040, 1050, 3050,   3051,  1001",
    "it stood still while it worked,             3000, 3010, 3000.1, 3000.1, 1000.05"
  })
  void howLongARequestHasWaited(
      String what, double begun, double due, double ends, double read, double waited) {
    LoopIterations rounds = new LoopIterations();
    assertThat(rounds.waitedMs(900)).isZero();
    rounds.entering(999, 1050);
    rounds.selected(1000);
    rounds.entering(begun, due);
    rounds.selected(ends);
    assertThat(rounds.waitedMs(read)).isCloseTo(waited, within(1e-6));
  }

  /**
   * 30% of 100 ms for 100 requests, 50 of them refused in 0.05 ms after as much for reading; one
   * stood still for 60 ms.
   */
  @Test
  void whatRequestsAndRefusalsTake() {
    Costs costs = new Costs();
    for (int span = 0; span < 60; span++) {
      for (int i = 0; i < 50; i++) {
        costs.served();
        costs.refused(i == 7 ? 60 : 0.05);
      }
      costs.span(30);
    }
    assertThat(costs.refusalMs()).isBetween(0.1, 0.25);
    assertThat(costs.servedMs()).isBetween(0.35, 0.55);
  }

  /** A start: rounds of 400 ms where 62 are aimed at, and five requests a second. */
  @Test
  void nothingIsTurnedAwayBeforeACostIsKnownAndNothingIsTimedAsNoNumber() {
    CpuLoadShedder budget = new CpuLoadShedder(62);
    double now = 0;
    for (int round = 1; round <= 60; round++) {
      if (budget.entering(now, now + 10)) {
        budget.span(now, "");
      }
      budget.selected(now + 1);
      now += 400;
      assertThat(budget.excess(now) > 0).as("round %d", round).isEqualTo(2 * round > Costs.ENOUGH);
      budget.taken();
      budget.taken();
    }
    budget.refused(0.1);
    assertThat(budget.news(now))
        .contains("ran unknown", "a request takes 199500 us")
        .doesNotContain("NaN");
  }

  @ParameterizedTest
  @CsvSource({
    "40000000 10000000 7, 0.4, 0.1",
    "'', NaN, NaN",
    "40000000, NaN, NaN",
    "a b c, NaN, NaN"
  })
  void whatTheSystemTellsOfTheThread(String line, double ran, double held) {
    ThreadCpuClock time = new ThreadCpuClock();
    time.read(0, "0 0 0");
    time.read(100, line);
    assertThat(List.of(time.ran(), time.held())).isEqualTo(List.of(ran, held));
  }
}
