package cacheproxy.shared;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Totals merge in any order, any number of times; readings say what they do not know. */
class TierCountersTest {
  private static long merged(List<TierCounters.Total> told, SplittableRandom lots) {
    List<TierCounters.Total> all = new ArrayList<>(told);
    told.forEach(t -> all.add(told.get(lots.nextInt(told.size())))); // some twice and more
    Collections.shuffle(all, new Random(lots.nextLong()));
    TierCounters counts = new TierCounters(5, 0, 99, 1000, 0);
    all.forEach(t -> counts.merge(10, t));
    return counts.sum();
  }

  @Test
  void anyOrderAndAnyRepetitionGiveTheSame() {
    for (int seed = 0; seed < 500; seed++) {
      SplittableRandom lots = new SplittableRandom(seed);
      List<TierCounters.Total> told = new ArrayList<>();
      long truth = 0;
      for (int p = 1; p < 5; p++) {
        for (int life = 1; life <= 2; life++) { // a restart between: both lives count
          long total = 0;
          for (int t = 0; t < 5; t++) {
            total += lots.nextInt(100);
            told.add(new TierCounters.Total(p, life, total));
          }
          truth += total;
        }
      }
      assertThat(merged(told, lots))
          .as("seed %d", seed)
          .isEqualTo(truth)
          .isEqualTo(merged(told, lots));
    }
  }

  @Test
  void passedOnByWayOfOthersNothingIsLostOrDoubled() {
    TierCounters[] tier = new TierCounters[4];
    for (int p = 0; p < 4; p++) {
      tier[p] = new TierCounters(4, p, 7, 1000, 0);
      tier[p].add(1, 10 + p);
    }
    for (int p = 0; p < 3; p++) { // each speaks to the next alone, twice, and 3 to none
      for (int of = 0; of < 4; of++) {
        for (TierCounters.Total t : tier[p].totals(of)) {
          tier[p + 1].merge(2, t);
          tier[p + 1].merge(3, t);
        }
      }
    }
    assertThat(tier[3].sum()).isEqualTo(10 + 11 + 12 + 13);
    assertThat(tier[0].sum()).isEqualTo(10);
  }

  @Test
  void aReadingIsAnIntervalWithAnAgeAndNamesTheSilent() {
    TierCounters counts = new TierCounters(4, 0, 5, 1000, 0);
    counts.add(100, 5);
    counts.merge(500, new TierCounters.Total(1, 3, 30));
    counts.merge(900, new TierCounters.Total(1, 3, 40));
    counts.merge(950, new TierCounters.Total(2, 3, 2));
    TierCounters.Reading r = counts.read(1000, 1000, 0.1);
    assertThat(r.least())
        .as("5 here and 10 there; of what was heard once nothing is known")
        .isEqualTo(15);
    assertThat(r.most())
        .as("all that may lie in it, and 0.1 a ms for 100, 50 and all of 1000 ms")
        .isEqualTo(47 + 115);
    assertThat(r.ageMs()).isEqualTo(100);
    assertThat(r.silent()).containsExactly(3);
    counts.add(3000, 1);
    assertThat(counts.read(3500, 1000, 0.1).least()).as("what was long ago is over").isZero();
    assertThat(counts.read(3000, 1000, 0.1).silent()).containsExactly(1, 2, 3);
  }

  /** What a cut has kept back comes all at once: it was not all done just now. */
  @Test
  void whatIsHeardAfterACutIsNoBurst() {
    TierCounters counts = new TierCounters(2, 0, 5, 3000, 0);
    for (int t = 0; t <= 3000; t += 250) {
      counts.merge(t, new TierCounters.Total(1, 3, 1000 + t / 10));
    }
    assertThat(counts.perMs(3000, 3000)).isBetween(0.099, 0.101);
    counts.merge(33_000, new TierCounters.Total(1, 3, 1000 + 3300));
    assertThat(counts.read(33_000, 3000, 1).least()).isZero();
    assertThat(counts.perMs(33_000, 3000)).isZero();
    counts.merge(34_000, new TierCounters.Total(1, 3, 1000 + 3400));
    assertThat(counts.perMs(34_000, 3000)).isBetween(0.099, 0.101);
    assertThat(counts.perMs(40_000, 3000)).as("silent").isZero();
  }

  @Test
  void whatCantBeChangesNothingAndTheEndOfTheCounterIsTheEnd() {
    TierCounters counts = new TierCounters(3, 0, 5, 1000, 0);
    counts.add(1, 3);
    assertThat(counts.merge(2, new TierCounters.Total(7, 1, 9))).isFalse();
    assertThat(counts.merge(2, new TierCounters.Total(-1, 1, 9))).isFalse();
    assertThat(counts.merge(2, new TierCounters.Total(1, 0, 9))).isFalse();
    assertThat(counts.merge(2, new TierCounters.Total(1, 1, -9))).isFalse();
    assertThat(counts.merge(2, new TierCounters.Total(0, 5, 900)))
        .as("nobody knows better what this life did")
        .isFalse();
    assertThat(counts.sum()).isEqualTo(3);
    assertThat(counts.merge(2, new TierCounters.Total(1, 1, Long.MAX_VALUE))).isTrue();
    counts.add(3, 10);
    assertThat(counts.sum()).isEqualTo(Long.MAX_VALUE);
    assertThat(counts.read(4, 1000, 1e300).most()).isEqualTo(Long.MAX_VALUE);
  }
}
