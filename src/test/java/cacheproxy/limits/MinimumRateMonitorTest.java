package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the time deficit of a peer against its minimum rate, in virtual time. */
class MinimumRateMonitorTest {
  private static final MinimumRate MINIMUM = new MinimumRate(10_000, 2000);

  @Test
  void isTooSlowAfterTheGraceWithoutTransferAndNotBefore() {
    MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
    monitor.begin(100);
    assertThat(monitor.isTooSlow(2100, 1)).isFalse();
    assertThat(monitor.isTooSlow(2101, 1)).isTrue();
    assertThat(monitor.isTooSlow(1101, 0.5)).isTrue();
  }

  /**
   * A peer that sends one byte at regular intervals must be detected as too slow soon after the
   * grace, because each byte reduces the deficit by 0.1 ms only.
   */
  @Test
  void singleBytesReduceTheDeficitByTheirOwnTimeOnly() {
    for (double everyMs : new double[] {1, 10, 100, 1900}) {
      MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
      monitor.begin(0);
      double now = 0;
      while (!monitor.isTooSlow(now, 1) && now < 60_000) {
        now += everyMs;
        monitor.transferred(now, 1);
      }
      assertThat(now).as("a byte every %s ms", everyMs).isLessThan(2000 * 1.15 + 2 * everyMs);
    }
  }

  /**
   * A peer that sends 80% of the minimum rate, in a burst just before each check, must be detected
   * as too slow.
   */
  @Test
  void burstsBeforeEachCheckDoNotReplaceTheMinimumRate() {
    for (double everyMs : new double[] {50, 500, 1950}) {
      MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
      monitor.begin(0);
      double now = 0;
      long transferred = 0;
      while (now < 60_000) {
        now += everyMs;
        long burst =
            (long) (everyMs * 10 * 0.8); // 80% of what the minimum rate of 10 bytes per ms requires
        monitor.transferred(now, burst);
        transferred += burst;
        if (monitor.isTooSlow(now, 1)) {
          break;
        }
      }
      assertThat(now)
          .as("every %s ms, %d bytes", everyMs, transferred)
          .isBetween(2000.0, 10_000 + 2 * everyMs);
    }
  }

  @Test
  void burstEarnsNoCreditForLater() {
    MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
    monitor.begin(0);
    monitor.transferred(1, 50_000_000);
    assertThat(monitor.isTooSlow(2002, 1)).isTrue();
  }

  @Test
  void nextTransferBeginsWithoutDeficitAndTimeBetweenTransfersDoesNotCount() {
    MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
    monitor.begin(0);
    monitor.end();
    assertThat(monitor.isTooSlow(1e9, 1)).isFalse();
    monitor.begin(1e9);
    monitor.begin(1e9 + 1500); // has no effect because a transfer is open
    assertThat(monitor.deficitMs(1e9 + 1900)).isEqualTo(1900);
  }

  /**
   * Compares the deficit with a simple model. One monitor is also read at random times between the
   * transfers and the other is not; both must agree with the model.
   */
  @Test
  void deficitMatchesItsDefinitionHoweverOftenItIsRead() {
    for (long seed = 1; seed <= 500; seed++) {
      Random random = new Random(seed);
      MinimumRateMonitor readOften = new MinimumRateMonitor(MINIMUM);
      MinimumRateMonitor readOnce = new MinimumRateMonitor(MINIMUM);
      readOften.begin(0);
      readOnce.begin(0);
      double now = 0;
      double expectedMs = 0;
      for (int i = 0; i < 60; i++) {
        double stepMs = random.nextInt(400);
        now += stepMs;
        expectedMs += stepMs;
        for (int reads = random.nextInt(4); reads > 0; reads--) {
          readOften.deficitMs(now - random.nextInt(50)); // also with a clock that goes backwards
        }
        long bytes = random.nextInt(4000);
        readOften.transferred(now, bytes);
        readOnce.transferred(now, bytes);
        expectedMs = Math.max(0, expectedMs - bytes / 10.0);
        assertThat(readOften.deficitMs(now))
            .as("seed %d", seed)
            .isCloseTo(expectedMs, within(1e-6));
        assertThat(readOnce.deficitMs(now)).as("seed %d", seed).isCloseTo(expectedMs, within(1e-6));
      }
    }
  }

  /**
   * A peer that transfers at the minimum rate must never be too slow, however large and rare its
   * transfers are.
   */
  @Test
  void peerThatKeepsTheRateIsNeverTooSlow() {
    for (long seed = 1; seed <= 200; seed++) {
      Random random = new Random(seed);
      MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
      monitor.begin(0);
      for (double now = 0; now < 100_000; ) {
        double stepMs = 1 + random.nextInt(1900);
        now += stepMs;
        monitor.transferred(now, (long) Math.ceil(stepMs * 10));
        assertThat(monitor.isTooSlow(now, 1)).as("seed %d", seed).isFalse();
      }
    }
  }

  @Test
  void rejectsRateOfZeroAndNegativeGrace() {
    assertThatThrownBy(() -> new MinimumRate(0, 1)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new MinimumRate(1, -1)).isInstanceOf(IllegalArgumentException.class);
  }

  /** An extension counts in addition to the grace, has an upper bound and is used up once. */
  @Test
  void anExtendedGraceIsBoundedAndUsedUpOnce() {
    MinimumRateMonitor monitor = new MinimumRateMonitor(MINIMUM);
    monitor.extendGrace(1_000_000); // much more than the bound of three graces of 2000 ms
    monitor.begin(0);
    assertThat(monitor.isTooSlow(8000, 1)).isFalse();
    assertThat(monitor.overdueMs(8000)).isZero();
    assertThat(monitor.isTooSlow(8001, 1)).isTrue();
    assertThat(monitor.overdueMs(8001)).isEqualTo(1);
    monitor.transferred(8001, 1_000_000); // catches up; the extension is spent
    assertThat(monitor.isTooSlow(10_001, 1)).isFalse();
    assertThat(monitor.isTooSlow(10_002, 1)).isTrue();
  }

  /** Guards against taking the steps of a socket's buffer for pauses of the client. */
  @Test
  void bytesThatABufferAcceptsInStepsExtendTheGrace() {
    MinimumRateMonitor monitor = new MinimumRateMonitor(new MinimumRate(1000, 3000));
    monitor.begin(0);
    for (int second = 0; second < 100; second += 5) {
      assertThat(monitor.isTooSlow(second * 1000, 1)).isFalse();
      monitor.accepted(second * 1000, 5000);
    }
    assertThat(monitor.isTooSlow(95_000 + 3000 + 3 * 3000 + 1, 1)).isTrue();
  }
}
