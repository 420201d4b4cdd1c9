package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RateTest {
  /**
   * Against the plain list of all events: exact but for the oldest slot, which may be in or out.
   */
  @Test
  void countsWhatTheWindowHolds() {
    for (long seed = 1; seed <= 300; seed++) {
      Random random = new Random(seed);
      Rate rate = new Rate(1000);
      List<Double> times = new ArrayList<>();
      double now = random.nextInt(1_000_000);
      for (int i = 0; i < 300; i++) {
        now += random.nextInt(20) == 0 ? random.nextInt(3000) : random.nextInt(30);
        times.add(now);
        rate.add(now, 1);
        double at = now;
        long least = times.stream().filter(t -> t > at - 900).count();
        long most = times.stream().filter(t -> t > at - 1000).count();
        assertThat(rate.sum(now)).as("seed %d", seed).isBetween((double) least, (double) most);
      }
      assertThat(rate.sum(now + 1001)).isZero();
    }
  }

  @Test
  void timeThatGoesBackLosesNothing() {
    Rate rate = new Rate(1000);
    rate.add(5000, 2);
    rate.add(4000, 3);
    assertThat(rate.perSecond(5000)).isEqualTo(5);
  }

  @Test
  void aWindowWithoutLengthIsRefused() {
    assertThatThrownBy(() -> new Rate(0)).isInstanceOf(IllegalArgumentException.class);
  }
}
