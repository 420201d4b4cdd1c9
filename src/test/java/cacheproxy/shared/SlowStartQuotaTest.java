package cacheproxy.shared;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.SlowStartQuotaModel;
import cacheproxy.shared.SlowStartQuota.Safeguard;
import cacheproxy.shared.SlowStartQuota.Settings;
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

  private static Settings settings(int n) {
    return Settings.ofWindow(n, GUARANTEE, WINDOW_MS, 0.1);
  }

  /**
   * Any faults, by its seed. Over: by how much what was spent, or the units held, passed what is
   * allowed; 1: not at all.
   */
  private static double history(long seed, Safeguard... without) {
    SplittableRandom random = new SplittableRandom(seed);
    int n = 2 + random.nextInt(5);
    SlowStartQuotaModel model = new SlowStartQuotaModel(settings(n), WINDOW_MS, seed, without);
    boolean look =
        seed % 2 == 0; // looking has each see its clock: half of the histories go without
    double units = 0;
    for (int f = 0; f < 30; f++) {
      int p = random.nextInt(n);
      switch (random.nextInt(9)) {
        case 0 -> model.wire(random.nextDouble() * 0.6, random.nextDouble() * 0.1);
        case 1 -> model.side(p, random.nextInt(3));
        case 2 -> IntStream.range(0, n).forEach(i -> model.side(i, 0));
        case 3 -> model.pause(p, random.nextDouble() * 6000);
        case 4 -> {
          model.kill(p);
          model.run(random.nextDouble() * 50);
          model.start(p);
        }
        case 5 -> IntStream.range(0, n).forEach(model::start); // a loss of power
        default ->
            model.demand(
                p, random.nextInt(3) == 0 ? 0 : random.nextDouble() * GUARANTEE / WINDOW_MS * 2);
      }
      model.run(random.nextDouble() * 2500);
      units = Math.max(units, look ? (double) model.units() : 0);
    }
    return Math.max(model.most() / model.allowed(), units / SlowStartQuota.TOTAL_UNITS);
  }

  @Test
  void budgetIsNeverOverspentIn10000Histories() {
    IntStream.range(0, 10_000)
        .parallel()
        .forEach(
            seed -> assertThat(history(seed)).as("seed %d", seed).isLessThanOrEqualTo(1.0000001));
  }

  /** Each part is there for something: without it some history overspends. */
  @ParameterizedTest
  @EnumSource(Safeguard.class)
  void budgetIsOverspentWithoutASafeguard(Safeguard safeguard) {
    assertThat(
            IntStream.range(0, 3000)
                .parallel()
                .anyMatch(seed -> history(seed, safeguard) > 1.0000001))
        .isTrue();
  }

  /**
   * One with ten times the load of the others gets what they do not use; three quarters of the
   * whole and more are used.
   */
  @ParameterizedTest
  @ValueSource(ints = {8, 14, 100})
  void unusedQuotaMovesToWhereItIsWanted(int n) {
    SlowStartQuotaModel model = new SlowStartQuotaModel(settings(n), WINDOW_MS, 1);
    double each = 0.9 * GUARANTEE / WINDOW_MS / (n + 9);
    for (int p = 0; p < n; p++) {
      model.demand(p, p == 0 ? 10 * each : each);
    }
    model.run(30_000);
    double before = model.spent();
    model.run(30_000);
    double served = (model.spent() - before) / 30_000 / (0.9 * GUARANTEE / WINDOW_MS);
    assertThat(served).isGreaterThan(n == 100 ? 0.9 : 0.75);
    assertThat(model.most()).isLessThanOrEqualTo(model.allowed());
  }

  /**
   * In a split each half trades among itself; one that is alone still has its floor and what is its
   * own.
   */
  @Test
  void partitionsLendAmongThemselvesAndALoneProxyKeepsItsOwnPart() {
    SlowStartQuotaModel model = new SlowStartQuotaModel(settings(8), WINDOW_MS, 3);
    double fair = GUARANTEE * 0.9 / WINDOW_MS / 8;
    for (int p = 0; p < 8; p++) {
      model.side(p, p == 7 ? 2 : p % 2);
      model.demand(p, p == 0 || p == 7 ? 3 * fair : 0.2 * fair);
    }
    model.run(10_000);
    double before = model.spent();
    model.run(20_000);
    double served = (model.spent() - before) / 20_000 / fair;
    assertThat(served).as("of 6 x 0.2 + 3 + 1 that can be had").isBetween(4.2, 5.3);
    assertThat(model.most()).isLessThanOrEqualTo(model.allowed());
  }

  /**
   * Seventy of a hundred die within a second: what they had borrowed is lent anew, and not before
   * its time is over.
   */
  @Test
  void lentUnitsComeBackWhenTheLeaseEnds() {
    Settings settings = settings(2);
    SlowStartQuota lender = new SlowStartQuota(settings, 1, 0);
    SlowStartQuota borrower = new SlowStartQuota(settings, 2, 0);
    double now = 10_000;
    assertThat(borrower.trySpend(now, 1e9)).as("it wants more than it has").isFalse();
    int whole = lender.spendableUnits(now);
    LeaseMessage.Grant grant =
        lender.receiveRequest(now, 1, borrower.requestLease(now, 0).orElseThrow()).orElseThrow();
    assertThat(grant.units()).as("granted").isPositive();
    assertThat(lender.spendableUnits(now))
        .as("given up before it is got")
        .isEqualTo(whole - grant.units());
    assertThat(lender.spendableUnits(now + settings.leaseMs() - 1))
        .as("whatever has become of it")
        .isEqualTo(whole - grant.units());
    assertThat(lender.spendableUnits(now + settings.leaseMs() + 1)).as("back").isEqualTo(whole);
  }

  /**
   * A grant that is doubled, an hour late, or of a question of a former life gives nothing; a claim
   * of all gets half of one's own.
   */
  @Test
  void grantsCountOnceForOwnRequestsAndAFaultyBorrowerGetsHalf() {
    Settings settings = settings(2);
    SlowStartQuota lender = new SlowStartQuota(settings, 1, 0);
    SlowStartQuota borrower = new SlowStartQuota(settings, 2, 0);
    borrower.trySpend(10_000, 1e9);
    LeaseMessage.Request request = borrower.requestLease(10_000, 0).orElseThrow();
    LeaseMessage.Grant grant = lender.receiveRequest(10_000, 1, request).orElseThrow();
    borrower.receiveGrant(10_010, 0, grant);
    int once = borrower.spendableUnits(10_010);
    borrower.receiveGrant(10_020, 0, grant);
    assertThat(borrower.spendableUnits(10_020)).isEqualTo(once);
    borrower.receiveGrant(10_030, 0, new LeaseMessage.Grant(777, 1000, 0));
    assertThat(borrower.spendableUnits(10_030)).isEqualTo(once);
    assertThat(borrower.spendableUnits(10_000 + settings.borrowerTermMs() + 1)).isLessThan(once);
    borrower.receiveGrant(3_600_000, 0, grant);
    assertThat(borrower.spendableUnits(3_600_000)).isLessThan(once);
    int own = lender.spendableUnits(20_000);
    for (int i = 1; i < 100; i++) {
      lender.receiveRequest(20_000, 1, new LeaseMessage.Request(i, SlowStartQuota.TOTAL_UNITS, 0));
    }
    assertThat(lender.spendableUnits(20_000)).isGreaterThanOrEqualTo(own / 2);
  }
}
