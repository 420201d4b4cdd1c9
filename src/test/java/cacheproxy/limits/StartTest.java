package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a start is warm, and how long it may take. */
class StartTest {
  /** A request's cost falls by a part at each, to a tenth; one in so many waits for 50 ms. */
  @ParameterizedTest
  @CsvSource({
    "1, 0, 288, 288",
    "0.993, 0, 480, 672",
    "0.997, 0, 864, 1248",
    "0.997, 30, 864, 1248"
  })
  void itIsWarmWhenTheCostNoLongerFallsWhateverPausesTheProcessorTakes(
      double falls, int pauses, int from, int to) {
    for (long seed = 1; seed <= 20; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      WarmUpConvergence settling = new WarmUpConvergence(96, 24, 200);
      while (!settling.settled() && settling.served() < 10_000) {
        double pause = pauses > 0 && random.nextInt(pauses) == 0 ? 5e7 : 0;
        settling.served(pause + 1e6 * Math.max(0.1, Math.pow(falls, settling.served())));
      }
      assertThat(settling.served()).as("seed " + seed).isBetween(from, to);
    }
  }

  /**
   * Asked at 0, 150 and 300 ms at most; one that serves is heard of at this time, never or too late
   * to matter.
   */
  @ParameterizedTest
  @CsvSource({
    "false, 99999, 0, 1800",
    "true, 99999, 3, 4000",
    "true, 40, 1, 900",
    "true, 200, 2, 900",
    "true, 2000, 3, 2000"
  })
  void itTakesLongOnlyWhereNobodyIsKeptWaiting(boolean peers, int heardMs, int asked, int ends) {
    WarmUpBudget span = new WarmUpBudget(0, peers);
    int asks = 0;
    int now = 0;
    for (; span.leftMs(now) > 0 && now < heardMs; now++) {
      asks += now % WarmUpBudget.ASK_AGAIN_MS == 0 && span.asks() ? 1 : 0;
    }
    if (now == heardMs) {
      span.oneServes();
      assertThat(span.asks()).isFalse();
    }
    assertThat(asks).isEqualTo(asked);
    assertThat(now + span.leftMs(now)).isEqualTo(ends);
  }
}
