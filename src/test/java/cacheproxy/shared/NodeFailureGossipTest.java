package cacheproxy.shared;

import static cacheproxy.shared.SharedModels.SEEDS;
import static cacheproxy.shared.SharedModels.median;
import static cacheproxy.shared.SharedModels.model;
import static cacheproxy.shared.SharedModels.plan;
import static cacheproxy.shared.SharedModels.until;
import static cacheproxy.shared.SharedModels.without;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.SharedModel;
import cacheproxy.shared.SharedState.Safeguard;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * How fast failures and recoveries of nodes become known to a tier, and how it probes nodes that it
 * has excluded, in virtual time.
 */
@Timeout(120)
class NodeFailureGossipTest {
  @ParameterizedTest
  @ValueSource(ints = {8, 14, 100})
  void failureAndRecoveryOfANodeReachNearlyAllProxiesWithinASecond(int proxies) {
    double[] gone = new double[SEEDS];
    double[] back = new double[SEEDS];
    int lost = 0;
    int alone = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel tier = model(proxies, seed);
      SharedModel each = SharedModel.of(plan(proxies, seed, false)).run(10_000);
      tier.down(7);
      each.down(7);
      gone[seed] = until(tier, 7, true, 0.95, proxies);
      each.run(gone[seed]);
      tier.run(4000);
      each.run(4000);
      lost += tier.lostAt(7);
      alone += each.lostAt(7);
      tier.run(10_000);
      tier.up(7, false);
      double began = tier.nowMs();
      double used = until(tier, 7, false, 0.95, proxies);
      back[seed] = used - (tier.usedMs(7) - began);
    }
    assertThat(median(gone)).as("until 95%% skip it").isLessThan(1000);
    assertThat(median(back)).as("from the first answer until 95%% use it").isLessThan(700);
    assertThat(lost)
        .as("proxies that found out by their own loss, of %d without", alone)
        .isLessThan(alone);
    if (proxies == 100) {
      assertThat(lost).isLessThan(alone / 2);
    }
  }

  @Test
  void newsTravelsSlowlyWithoutPushNotifications() {
    double[] gone = new double[SEEDS];
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel tier = without(100, seed, Safeguard.PUSH_NOTIFICATIONS);
      tier.down(7);
      gone[seed] = until(tier, 7, true, 0.95, 100);
    }
    assertThat(median(gone)).isGreaterThan(1500);
  }

  /** However many proxies are alive, a probe comes soon and few come at once. */
  @ParameterizedTest
  @CsvSource({"8, 8", "100, 100", "100, 30"})
  void probesOfAnExcludedNodeComeAtABoundedRate(int proxies, int live) {
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel tier = model(proxies, seed);
      IntStream.range(live, proxies).forEach(tier::kill);
      tier.run(2000).down(7);
      tier.run(6000);
      long before = tier.lostAttempts();
      tier.run(30_000);
      assertThat(tier.lostAttempts() - before).as("seed %d, in 30 s", seed).isBetween(3L, 100L);
    }
  }

  @Test
  void moreProxiesProbeAtOnceWithoutRandomDelays() {
    long[] tried = new long[2];
    for (int seed = 0; seed < SEEDS; seed++) {
      for (int random = 0; random < 2; random++) {
        SharedModel tier =
            random == 1
                ? model(100, seed)
                : model(100, seed, HealthVerdicts.Safeguard.RANDOM_PROBE_DELAY);
        tier.down(7);
        tier.run(6000);
        long before = tier.lostAttempts();
        tier.run(30_000);
        tried[random] += tier.lostAttempts() - before;
      }
    }
    assertThat(tried[0]).as("with random delays %d", tried[1]).isGreaterThan(tried[1] * 3 / 2);
  }

  @Test
  void followsANodeThatFailsAndRecoversThreeTimesInAMinute() {
    SharedModel tier = model(14, 3);
    for (int i = 0; i < 3; i++) {
      tier.down(7);
      assertThat(until(tier, 7, true, 0.9, 14)).isLessThan(3000);
      tier.run(10_000);
      tier.up(7, false);
      assertThat(until(tier, 7, false, 0.9, 14)).isLessThan(6000);
      tier.run(4000);
    }
  }

  /** Without the rule older evidence excludes the node until it expires. */
  @Test
  void answerSupersedesOlderEvidence() {
    double[] with = new double[SEEDS];
    double[] without = new double[SEEDS];
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel tier = model(14, seed);
      SharedModel other = model(14, seed, HealthVerdicts.Safeguard.ANSWER_SUPERSEDES);
      for (SharedModel of : List.of(tier, other)) {
        of.down(7);
        of.run(8000);
        of.up(7, false);
      }
      with[seed] = until(tier, 7, false, 0.95, 14);
      without[seed] = until(other, 7, false, 0.95, 14);
    }
    assertThat(median(with)).isLessThan(3000);
    assertThat(median(without)).isGreaterThan(2 * median(with));
  }
}
