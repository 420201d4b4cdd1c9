package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Levels, lateness and waits, in virtual time. */
class PressureTest {
  @Test
  void aShareThatHoversAtAThresholdMovesTheLevelOnce() {
    for (double at : new double[] {0.70, 0.90}) {
      Pressure pressure = new Pressure();
      Random random = new Random(5);
      for (int i = 0; i < 10_000; i++) {
        pressure.at(at + (random.nextDouble() - 0.5) * 0.2);
      }
      assertThat(pressure.changes()).as("at %s", at).isLessThanOrEqualTo(2);
    }
  }

  @Test
  void theLevelFollowsTheShareUpAndDown() {
    Pressure pressure = new Pressure();
    assertThat(pressure.at(0.5)).isEqualTo(Pressure.Level.CALM);
    assertThat(pressure.at(0.71)).isEqualTo(Pressure.Level.TIGHT);
    assertThat(pressure.at(0.95)).isEqualTo(Pressure.Level.SHORT);
    assertThat(pressure.at(0.76)).isEqualTo(Pressure.Level.SHORT);
    assertThat(pressure.at(0.74)).isEqualTo(Pressure.Level.TIGHT);
    assertThat(pressure.at(0.56)).isEqualTo(Pressure.Level.TIGHT);
    assertThat(pressure.at(0.54)).isEqualTo(Pressure.Level.CALM);
    assertThat(pressure.at(1.5)).isEqualTo(Pressure.Level.SHORT);
    assertThat(pressure.at(0)).isEqualTo(Pressure.Level.CALM);
  }

  @Test
  void lateTicksCountForASecond() {
    LoopLag lag = new LoopLag();
    lag.ticked(1000, 1001);
    lag.ticked(1050, 1150);
    assertThat(lag.lateMs(1200)).isEqualTo(100);
    assertThat(lag.share(1200)).isEqualTo(100 / LoopLag.FULL_MS);
    assertThat(lag.lateMs(2100)).isEqualTo(0);
    lag.ticked(1e9, 1e9 - 5); // early, by a clock that was set: not late
    assertThat(lag.lateMs(1e9)).isZero();
  }

  @Test
  void whoComesAgainAtOnceWaitsLongerEachTimeAndIsForgotten() {
    ClientBackoff hold = new ClientBackoff();
    for (int i = 0; i < ClientBackoff.FREE; i++) {
      hold.turnedAway(1000, "a");
    }
    assertThat(hold.waitMs(1000, "a")).isZero();
    double last = 0;
    for (int i = 0; i < 4; i++) {
      hold.turnedAway(1001, "a");
      assertThat(hold.waitMs(1001, "a")).isGreaterThan(last);
      last = hold.waitMs(1001, "a");
    }
    for (int i = 0; i < 1000; i++) {
      hold.turnedAway(1002, "a");
    }
    assertThat(hold.waitMs(1002, "a")).isEqualTo(ClientBackoff.MOST_MS);
    assertThat(hold.waitMs(1002, "b")).isZero();
    assertThat(hold.waitMs(1002 + ClientBackoff.WINDOW_MS, "a")).isZero();
    assertThat(hold.waitMs(1002 + ClientBackoff.FORGET_MS + 1, "a")).isZero();
    assertThat(hold.size()).isZero();
  }

  /** Many clients behind one front: a few bad ones don't make the others wait. */
  @Test
  void anAddressThatIsServedMoreOftenThanTurnedAwayNeverWaits() {
    ClientBackoff hold = new ClientBackoff();
    for (int i = 0; i < 2000; i++) {
      hold.turnedAway(1000 + i, "front");
      hold.served(1000 + i, "front");
      hold.served(1000 + i, "front");
      assertThat(hold.waitMs(1000 + i, "front")).isZero();
    }
  }

  @Test
  void theTableOfAddressesHasABoundAndKeepsThoseHeardOfLast() {
    ClientBackoff hold = new ClientBackoff();
    for (int i = 0; i < 100_000; i++) {
      hold.turnedAway(1000, i);
      hold.turnedAway(1000, "always");
    }
    assertThat(hold.size()).isEqualTo(ClientBackoff.ADDRESSES);
    assertThat(hold.waitMs(1000, "always")).isPositive();
  }

  @Test
  void cutsAreToldOnce() {
    DisconnectCounters cuts = new DisconnectCounters();
    cuts.count(DisconnectReason.IDLE);
    cuts.count(DisconnectReason.SLOW_READER);
    cuts.count(DisconnectReason.SLOW_READER);
    assertThat(cuts.news()).isEqualTo("idle 1, slow reader 2");
    assertThat(cuts.news()).isEmpty();
    assertThat(cuts.of(DisconnectReason.SLOW_READER)).isEqualTo(2);
  }
}
