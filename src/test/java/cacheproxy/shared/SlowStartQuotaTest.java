package cacheproxy.shared;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.SlowStartQuotaModel;
import cacheproxy.shared.SlowStartQuota.Part;
import cacheproxy.shared.SlowStartQuota.Terms;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A budget of the tier is never overspent, in any history, and most of it is used where it is
 * wanted.
 */
@Timeout(120)
class SlowStartQuotaTest {
  private static final double WINDOW_MS = 1500;
  private static final double GUARANTEE = 300;

  private static Terms terms(int n) {
    return Terms.ofWindow(n, GUARANTEE, WINDOW_MS, 0.1);
  }

  /**
   * Any faults, by its seed. Over: by how much what was spent, or the units held, passed what is
   * allowed; 1: not at all.
   */
  private static double history(long seed, Part... without) {
    SplittableRandom lots = new SplittableRandom(seed);
    int n = 2 + lots.nextInt(5);
    SlowStartQuotaModel m = new SlowStartQuotaModel(terms(n), WINDOW_MS, seed, without);
    boolean look =
        seed % 2 == 0; // looking has each see its clock: half of the histories go without
    double units = 0;
    for (int f = 0; f < 30; f++) {
      int p = lots.nextInt(n);
      switch (lots.nextInt(9)) {
        case 0 -> m.wire(lots.nextDouble() * 0.6, lots.nextDouble() * 0.1);
        case 1 -> m.side(p, lots.nextInt(3));
        case 2 -> IntStream.range(0, n).forEach(i -> m.side(i, 0));
        case 3 -> m.pause(p, lots.nextDouble() * 6000);
        case 4 -> {
          m.kill(p);
          m.run(lots.nextDouble() * 50);
          m.start(p);
        }
        case 5 -> IntStream.range(0, n).forEach(m::start); // a loss of power
        default ->
            m.demand(p, lots.nextInt(3) == 0 ? 0 : lots.nextDouble() * GUARANTEE / WINDOW_MS * 2);
      }
      m.run(lots.nextDouble() * 2500);
      units = Math.max(units, look ? (double) m.units() : 0);
    }
    return Math.max(m.most() / m.allowed(), units / SlowStartQuota.WHOLE);
  }

  @Test
  void in10000HistoriesNothingIsOverspent() {
    IntStream.range(0, 10_000)
        .parallel()
        .forEach(
            seed -> assertThat(history(seed)).as("seed %d", seed).isLessThanOrEqualTo(1.0000001));
  }

  /** Each part is there for something: without it some history overspends. */
  @ParameterizedTest
  @EnumSource(Part.class)
  void withoutOneOfItsPartsItIsOverspent(Part part) {
    assertThat(
            IntStream.range(0, 3000).parallel().anyMatch(seed -> history(seed, part) > 1.0000001))
        .isTrue();
  }

  /**
   * One with ten times the load of the others gets what they do not use; three quarters of the
   * whole and more are used.
   */
  @ParameterizedTest
  @ValueSource(ints = {8, 14, 100})
  void whatIsUnusedDriftsToWhereItIsWanted(int n) {
    SlowStartQuotaModel m = new SlowStartQuotaModel(terms(n), WINDOW_MS, 1);
    double each = 0.9 * GUARANTEE / WINDOW_MS / (n + 9);
    for (int p = 0; p < n; p++) {
      m.demand(p, p == 0 ? 10 * each : each);
    }
    m.run(30_000);
    double before = m.spent();
    m.run(30_000);
    double served = (m.spent() - before) / 30_000 / (0.9 * GUARANTEE / WINDOW_MS);
    assertThat(served).isGreaterThan(n == 100 ? 0.9 : 0.75);
    assertThat(m.most()).isLessThanOrEqualTo(m.allowed());
  }

  /**
   * In a split each half trades among itself; one that is alone still has its floor and what is its
   * own.
   */
  @Test
  void aSplitTradesWithinItsPartsAndTheLoneOneServesOn() {
    SlowStartQuotaModel m = new SlowStartQuotaModel(terms(8), WINDOW_MS, 3);
    double fair = GUARANTEE * 0.9 / WINDOW_MS / 8;
    for (int p = 0; p < 8; p++) {
      m.side(p, p == 7 ? 2 : p % 2);
      m.demand(p, p == 0 || p == 7 ? 3 * fair : 0.2 * fair);
    }
    m.run(10_000);
    double before = m.spent();
    m.run(20_000);
    double served = (m.spent() - before) / 20_000 / fair;
    assertThat(served).as("of 6 x 0.2 + 3 + 1 that can be had").isBetween(4.2, 5.3);
    assertThat(m.most()).isLessThanOrEqualTo(m.allowed());
  }

  /**
   * Seventy of a hundred die within a second: what they had borrowed is lent anew, and not before
   * its time is over.
   */
  @Test
  void whatTheDeadHadBorrowedComesBackToItsOwners() {
    Terms terms = terms(2);
    SlowStartQuota lender = new SlowStartQuota(terms, 1, 0);
    SlowStartQuota borrower = new SlowStartQuota(terms, 2, 0);
    double now = 10_000;
    assertThat(borrower.spend(now, 1e9)).as("it wants more than it has").isFalse();
    int whole = lender.units(now);
    SlowStartQuota.Message grant = lender.heard(now, 1, borrower.asks(now, 0));
    assertThat(grant.grant()).isTrue();
    assertThat(lender.units(now)).as("given up before it is got").isEqualTo(whole - grant.units());
    assertThat(lender.units(now + terms.lendMs() - 1))
        .as("whatever has become of it")
        .isEqualTo(whole - grant.units());
    assertThat(lender.units(now + terms.lendMs() + 1)).as("back").isEqualTo(whole);
  }

  /**
   * A grant that is doubled, an hour late, or of a question of a former life gives nothing; a claim
   * of all gets half of one's own.
   */
  @Test
  void grantsCountOnceAndOnlyForTheOwnQuestionAndALiarGetsHalf() {
    Terms terms = terms(2);
    SlowStartQuota lender = new SlowStartQuota(terms, 1, 0);
    SlowStartQuota borrower = new SlowStartQuota(terms, 2, 0);
    borrower.spend(10_000, 1e9);
    SlowStartQuota.Message ask = borrower.asks(10_000, 0);
    SlowStartQuota.Message grant = lender.heard(10_000, 1, ask);
    borrower.heard(10_010, 0, grant);
    int once = borrower.units(10_010);
    borrower.heard(10_020, 0, grant);
    assertThat(borrower.units(10_020)).isEqualTo(once);
    borrower.heard(10_030, 0, new SlowStartQuota.Message(true, 777, 1000, 0));
    assertThat(borrower.units(10_030)).isEqualTo(once);
    assertThat(borrower.units(10_000 + terms.useMs() + 1)).isLessThan(once);
    borrower.heard(3_600_000, 0, grant);
    assertThat(borrower.units(3_600_000)).isLessThan(once);
    int own = lender.units(20_000);
    for (int i = 1; i < 100; i++) {
      lender.heard(20_000, 1, new SlowStartQuota.Message(false, i, SlowStartQuota.WHOLE, 0));
    }
    assertThat(lender.units(20_000)).isGreaterThanOrEqualTo(own / 2);
  }
}
