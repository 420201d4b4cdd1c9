package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Least rates in virtual time. */
class PaceTest {
  private static final MinimumRate LEAST = new MinimumRate(10_000, 2000);

  @Test
  void whoMovesNothingIsTooSlowAfterTheGraceAndNotBefore() {
    Pace pace = new Pace(LEAST);
    pace.begin(100);
    assertThat(pace.tooSlow(2100, 1)).isFalse();
    assertThat(pace.tooSlow(2101, 1)).isTrue();
    assertThat(pace.tooSlow(1101, 0.5)).isTrue();
  }

  /** One byte just inside each older time-out never stops the time. */
  @Test
  void aByteAtATimeBuysOnlyAByteOfTime() {
    for (double every : new double[] {1, 10, 100, 1900}) {
      Pace pace = new Pace(LEAST);
      pace.begin(0);
      double now = 0;
      while (!pace.tooSlow(now, 1) && now < 60_000) {
        now += every;
        pace.moved(now, 1);
      }
      assertThat(now).as("a byte every %s ms", every).isLessThan(2000 * 1.15 + 2 * every);
    }
  }

  /** It hurries just before it is looked at, with as little as lets it look alive. */
  @Test
  void whoSpeedsUpBeforeEachCheckMustStillKeepTheRate() {
    for (double every : new double[] {50, 500, 1950}) {
      Pace pace = new Pace(LEAST);
      pace.begin(0);
      double now = 0;
      long moved = 0;
      while (now < 60_000) {
        now += every;
        long burst =
            (long) (every * 10 * 0.8); // four fifths of the least rate, all at the last moment
        pace.moved(now, burst);
        moved += burst;
        if (pace.tooSlow(now, 1)) {
          break;
        }
      }
      assertThat(now)
          .as("every %s ms, %d bytes", every, moved)
          .isBetween(2000.0, 10_000 + 2 * every);
    }
  }

  @Test
  void beingEarlyEarnsNothing() {
    Pace pace = new Pace(LEAST);
    pace.begin(0);
    pace.moved(1, 50_000_000);
    assertThat(pace.tooSlow(2002, 1)).isTrue();
  }

  @Test
  void whatIsOwedNextBeginsAnewAndTimeWithoutDebtDoesNotCount() {
    Pace pace = new Pace(LEAST);
    pace.begin(0);
    pace.end();
    assertThat(pace.tooSlow(1e9, 1)).isFalse();
    pace.begin(1e9);
    pace.begin(1e9 + 1500); // goes on, does not begin again
    assertThat(pace.behindMs(1e9 + 1900)).isEqualTo(1900);
  }

  /**
   * Against the definition: too slow where over some span up to now time has outrun what was moved
   * by the grace.
   */
  @Test
  void isWhatItsDefinitionSaysHoweverOftenItIsLookedAt() {
    for (long seed = 1; seed <= 500; seed++) {
      Random random = new Random(seed);
      Pace looked = new Pace(LEAST);
      Pace unlooked = new Pace(LEAST);
      looked.begin(0);
      unlooked.begin(0);
      double now = 0;
      double behind = 0;
      for (int i = 0; i < 60; i++) {
        double step = random.nextInt(400);
        now += step;
        behind += step;
        for (int k = random.nextInt(4); k > 0; k--) {
          looked.behindMs(now - random.nextInt(50)); // also by a clock that has gone back
        }
        long bytes = random.nextInt(4000);
        looked.moved(now, bytes);
        unlooked.moved(now, bytes);
        behind = Math.max(0, behind - bytes / 10.0);
        assertThat(looked.behindMs(now))
            .as("seed %d", seed)
            .isCloseTo(behind, org.assertj.core.data.Offset.offset(1e-6));
        assertThat(unlooked.behindMs(now))
            .as("seed %d", seed)
            .isCloseTo(behind, org.assertj.core.data.Offset.offset(1e-6));
      }
    }
  }

  /** A peer that keeps the rate at each moment is never cut, whatever the size. */
  @Test
  void whoKeepsTheRateIsNeverTooSlow() {
    for (long seed = 1; seed <= 200; seed++) {
      Random random = new Random(seed);
      Pace pace = new Pace(LEAST);
      pace.begin(0);
      for (double now = 0; now < 100_000; ) {
        double step = 1 + random.nextInt(1900);
        now += step;
        pace.moved(now, (long) Math.ceil(step * 10));
        assertThat(pace.tooSlow(now, 1)).as("seed %d", seed).isFalse();
      }
    }
  }

  @Test
  void aRateOfNothingIsRefused() {
    assertThatThrownBy(() -> new MinimumRate(0, 1)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new MinimumRate(1, -1)).isInstanceOf(IllegalArgumentException.class);
  }
}
