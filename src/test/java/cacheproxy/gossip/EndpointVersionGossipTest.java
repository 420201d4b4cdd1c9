package cacheproxy.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One proxy's view in virtual time; the others are what it hears. */
class EndpointVersionGossipTest {
  private static final int TIER = 14;
  private final EndpointVersionGossip versions = new EndpointVersionGossip(TIER, 0);

  /** What is done up to this time: calls of discovery, with the times at which. */
  private double asksBy(double end) {
    for (double now; (now = versions.dueMs()) <= end; ) {
      versions.tells(now);
      if (versions.asks(now)) {
        return now;
      }
    }
    return Double.NaN;
  }

  /**
   * A watch that is only somewhat later than another's calls nobody; one that is silent is seen.
   */
  @Test
  void aSilentWatchIsToldFromALateOne() {
    versions.own(0, 10, 0.5);
    versions.heard(1000, 3, 11, 0.5);
    versions.own(1000 + EndpointVersionGossip.LATE_MS - 1, 11, 0.5);
    assertThat(asksBy(60_000)).isNaN();
    versions.heard(61_000, 3, 12, 1);
    assertThat(asksBy(70_000))
        .isEqualTo(61_000 + EndpointVersionGossip.LATE_MS + EndpointVersionGossip.ASK_SPREAD_MS);
  }

  /**
   * Where the service answers slowly the own answer is waited for as long, up to a bound, and not
   * for ever.
   */
  @Test
  void theServicesQueueIsWaitedFor() {
    versions.own(0, 10, 0.5);
    versions.queued(0, 2000);
    versions.queued(500, 100);
    versions.heard(1000, 3, 11, 0);
    assertThat(asksBy(70_000)).isEqualTo(1000 + EndpointVersionGossip.LATE_MS + 2000);
    versions.own(70_000, 11, 0.5);
    versions.heard(71_000, 3, 12, 0);
    assertThat(asksBy(80_000)).isEqualTo(71_000 + EndpointVersionGossip.LATE_MS);
    versions.own(80_000, 12, 0.5);
    versions.queued(80_000, 60_000);
    versions.heard(80_000, 3, 13, 0);
    assertThat(asksBy(90_000))
        .isEqualTo(
            80_000 + EndpointVersionGossip.LATE_MS + EndpointVersionGossip.MOST_WAIT_FOR_QUEUE_MS);
  }

  /**
   * One that counts otherwise, or is spoilt, costs fewer calls the longer it goes on; a sound one
   * is still heard.
   */
  @Test
  void aMistakenPeerIsHeardLessAndLess() {
    versions.own(0, 10, 0.5);
    int calls = 0;
    for (double now = 0; now < 600_000; now += 100) {
      versions.heard(now, 5, Long.MAX_VALUE - (long) now, 0.5);
      calls += Double.isNaN(asksBy(now)) ? 0 : 1;
    }
    assertThat(calls).isBetween(2, 9);
    versions.heard(600_000, 6, 11, 0);
    assertThat(asksBy(600_000 + EndpointVersionGossip.LATE_MS)).isNotNaN();
  }

  @Test
  void whatTwoOthersHaveToldIsNotToldAgain() {
    versions.own(0, 10, 1);
    versions.heard(10, 1, 10, 0.5);
    versions.heard(20, 2, 10, 0.5);
    assertThat(versions.tells(EndpointVersionGossip.TELL_SPREAD_MS)).isZero();
    versions.heard(1000, 4, 9, 0); // but who is behind is told
    assertThat(versions.tells(1000)).isEqualTo(10);
  }

  /**
   * Hard case: of fourteen watches two live, datagrams take up to 30 ms and one in three is lost.
   * All must know within seconds, where the waits of their watches would have taken ten and more,
   * and must not call all at once.
   */
  @Test
  void twoWatchesThatLiveAreEnoughForAll() {
    for (long seed = 1; seed <= 100; seed++) {
      twoWatchesThatLive(seed, 0, 8000);
      twoWatchesThatLive(
          seed,
          EndpointVersionGossip.MOST_QUEUE_MS,
          8000 + EndpointVersionGossip.MOST_WAIT_FOR_QUEUE_MS);
    }
  }

  private static void twoWatchesThatLive(long seed, double queueMs, double knownByMs) {
    SplittableRandom random = new SplittableRandom(seed);
    EndpointVersionGossip[] tier = new EndpointVersionGossip[TIER];
    long[] has = new long[TIER];
    double[] knownMs = new double[TIER];
    PriorityQueue<Map.Entry<Double, Runnable>> due =
        new PriorityQueue<>(Map.Entry.comparingByKey());
    for (int p = 0; p < TIER; p++) {
      tier[p] = new EndpointVersionGossip(TIER, p);
      tier[p].own(0, 1, random.nextDouble());
      tier[p].queued(0, queueMs);
      int me = p;
      if (p < 2) {
        due.add(
            Map.entry(
                1000.0,
                () -> {
                  has[me] = 2;
                  knownMs[me] = 1000;
                  tier[me].own(1000, 2, random.nextDouble());
                }));
      }
    }
    int calls = 0;
    int told = 0;
    int callsInASecond = 0;
    double second = 0;
    for (double now = 0; now < 20_000; now++) {
      while (!due.isEmpty() && due.peek().getKey() <= now) {
        due.poll().getValue().run();
      }
      for (int p = 0; p < TIER; p++) {
        long tells = tier[p].tells(now);
        if (tells > 0) {
          told++;
          for (int q = 0; q < TIER; q++) {
            int from = p;
            int to = q;
            double at = now + 4 + random.nextInt(26);
            if (q != p && random.nextInt(3) > 0) {
              due.add(Map.entry(at, () -> tier[to].heard(at, from, tells, random.nextDouble())));
            }
          }
        }
        if (tier[p].asks(now)) {
          calls++;
          callsInASecond = now - second < 1000 ? callsInASecond + 1 : 1;
          second = now - second < 1000 ? second : now;
          assertThat(callsInASecond).as("seed %d", seed).isLessThan(TIER);
          int me = p;
          double at = now + 200;
          due.add(
              Map.entry(
                  at,
                  () -> {
                    knownMs[me] = has[me] == 2 ? knownMs[me] : at;
                    has[me] = 2;
                    tier[me].own(at, 2, random.nextDouble());
                  }));
        }
      }
    }
    assertThat(has).as("seed %d", seed).containsOnly(2);
    assertThat(knownMs)
        .as("seed %d", seed)
        .satisfies(k -> assertThat(Arrays.stream(k).max().orElseThrow()).isLessThan(knownByMs));
    assertThat(calls).as("seed %d", seed).isEqualTo(TIER - 2);
    assertThat(told).as("seed %d", seed).isLessThan(3 * TIER);
  }

  /**
   * All watches bring the news at once: who tells it, in a tier that knows its size, and in one
   * that goes by fourteen.
   */
  @ParameterizedTest
  @CsvSource({"14,6,6", "100,7,10", "400,9,25"})
  void newsIsToldByFewHoweverManyThereAre(int n, int mostTold, int leastUnsized) {
    for (long seed = 1; seed <= 5; seed++) {
      assertThat(told(n, true, seed)).as("seed %d", seed).isBetween(1, mostTold);
    }
    assertThat(told(n, false, 1))
        .as("by the spread for fourteen")
        .isGreaterThanOrEqualTo(n == 14 ? 1 : leastUnsized);
  }

  private static int told(int n, boolean sized, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EndpointVersionGossip[] tier = new EndpointVersionGossip[n];
    PriorityQueue<Map.Entry<Double, Runnable>> due =
        new PriorityQueue<>(Map.Entry.comparingByKey());
    for (int p = 0; p < n; p++) {
      tier[p] = new EndpointVersionGossip(n, p);
      if (sized) {
        tier[p].tier(n, 34);
      }
      tier[p].own(0, 2, random.nextDouble());
    }
    int told = 0;
    for (double now = 0; now < 20_000; now++) {
      while (!due.isEmpty() && due.peek().getKey() <= now) {
        due.poll().getValue().run();
      }
      for (int p = 0; p < n; p++) {
        long tells = tier[p].dueMs() <= now ? tier[p].tells(now) : 0;
        for (int q = 0; q < n && tells > 0; q++) {
          int from = p;
          int to = q;
          double at = now + 4 + random.nextInt(26);
          due.add(Map.entry(at, () -> tier[to].heard(at, from, tells, random.nextDouble())));
        }
        told += tells > 0 ? 1 : 0;
      }
    }
    return told;
  }

  /**
   * Spoilt numbers and versions, peers that are none: bounded in what is told and asked, and never
   * stuck.
   */
  @Test
  void whateverIsHeardToldAndAskedStayBounded() {
    long seed = 20261201;
    SplittableRandom random = new SplittableRandom(seed);
    int told = 0;
    int asked = 0;
    long own = 1;
    for (double now = 0; now < 100_000; now += 10) {
      if (random.nextInt(100) == 0) {
        own += random.nextInt(3) - (random.nextInt(50) == 0 ? own : 0);
        versions.own(now, own, random.nextDouble());
      }
      versions.heard(
          now,
          random.nextInt(-3, 20),
          random.nextInt(4) == 0 ? random.nextLong() : own + 1,
          random.nextDouble());
      told += versions.tells(now) > 0 ? 1 : 0;
      asked += versions.asks(now) ? 1 : 0;
    }
    assertThat(told)
        .as("seed %d", seed)
        .isLessThanOrEqualTo((int) (100_000 / EndpointVersionGossip.TELL_AGAIN_MS) + 1);
    assertThat(asked)
        .as("seed %d", seed)
        .isBetween(1, (int) (100_000 / EndpointVersionGossip.LATE_MS) + 1);
  }
}
