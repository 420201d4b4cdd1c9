package cacheproxy.shared;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.model.SharedModel;
import cacheproxy.model.SharedModel.Plan;
import cacheproxy.shared.SharedState.Part;
import cacheproxy.shared.VerdictEvidence.Kind;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a tier shares, in virtual time: each hard case by name, and that what guards it is what does
 * so.
 */
@Timeout(120)
class SharedStateTest {
  private static final int SEEDS = 5;

  private static Plan plan(int n, long seed, boolean sharing) {
    return n == 100
        ? new Plan(100, 200, 4, 20, seed, sharing)
        : new Plan(n, 5 * n, 4, n == 14 ? 40 : 100, seed, sharing);
  }

  private static SharedModel model(int n, long seed, HealthVerdicts.Part... without) {
    return new SharedModel(plan(n, seed, true), Set.of(), without).run(10_000);
  }

  private static SharedModel without(int n, long seed, Part part) {
    return new SharedModel(plan(n, seed, true), EnumSet.of(part)).run(10_000);
  }

  /** How long until so many pass it over; infinite: not within 20 s. */
  private static double until(SharedModel m, int node, boolean most, double part, int n) {
    double began = m.nowMs();
    while (m.nowMs() - began < 20_000) {
      m.run(20);
      if (most ? m.passOver(node) >= part * n : m.passOver(node) <= (1 - part) * n) {
        return m.nowMs() - began;
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  private static double median(double[] of) {
    double[] sorted = of.clone();
    java.util.Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  // ---- a node goes and comes back

  @ParameterizedTest
  @ValueSource(ints = {8, 14, 100})
  void aNodeThatGoesIsPassedOverByNearlyAllWithinASecondAndItsReturnTravelsAsFast(int n) {
    double[] gone = new double[SEEDS];
    double[] back = new double[SEEDS];
    int lost = 0;
    int alone = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel m = model(n, seed);
      SharedModel each = SharedModel.of(plan(n, seed, false)).run(10_000);
      m.down(7);
      each.down(7);
      gone[seed] = until(m, 7, true, 0.95, n);
      each.run(gone[seed]);
      m.run(4000);
      each.run(4000);
      lost += m.lostAt(7);
      alone += each.lostAt(7);
      m.run(10_000);
      m.up(7, false);
      double began = m.nowMs();
      double used = until(m, 7, false, 0.95, n);
      back[seed] = used - (m.usedMs(7) - began);
    }
    assertThat(median(gone)).as("until 95%% pass it over").isLessThan(1000);
    assertThat(median(back)).as("from the first answer until 95%% use it").isLessThan(700);
    assertThat(lost)
        .as("proxies that found out by their own loss, of %d without", alone)
        .isLessThan(alone);
    if (n == 100) {
      assertThat(lost).isLessThan(alone / 2);
    }
  }

  @Test
  void withNoNudgesTheNewsIsSlow() {
    double[] gone = new double[SEEDS];
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel m = without(100, seed, Part.NUDGES);
      m.down(7);
      gone[seed] = until(m, 7, true, 0.95, 100);
    }
    assertThat(median(gone)).isGreaterThan(1500);
  }

  /** Whoever lives: somebody tries soon, and few do at once. */
  @ParameterizedTest
  @CsvSource({"8, 8", "100, 100", "100, 30"})
  void aNodeThatIsOutIsTriedAtARateThatIsBoundedBelowAndAbove(int n, int live) {
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel m = model(n, seed);
      IntStream.range(live, n).forEach(m::kill);
      m.run(2000).down(7);
      m.run(6000);
      long before = m.lostAttempts();
      m.run(30_000);
      assertThat(m.lostAttempts() - before).as("seed %d, in 30 s", seed).isBetween(3L, 100L);
    }
  }

  @Test
  void withNoLotsMoreTryAtOnce() {
    long[] tried = new long[2];
    for (int seed = 0; seed < SEEDS; seed++) {
      for (int lots = 0; lots < 2; lots++) {
        SharedModel m = lots == 1 ? model(100, seed) : model(100, seed, HealthVerdicts.Part.LOTS);
        m.down(7);
        m.run(6000);
        long before = m.lostAttempts();
        m.run(30_000);
        tried[lots] += m.lostAttempts() - before;
      }
    }
    assertThat(tried[0]).as("with lots %d", tried[1]).isGreaterThan(tried[1] * 3 / 2);
  }

  @Test
  void aNodeThatIsOutAndBackThreeTimesInAMinuteIsFollowedEachTime() {
    SharedModel m = model(14, 3);
    for (int i = 0; i < 3; i++) {
      m.down(7);
      assertThat(until(m, 7, true, 0.9, 14)).isLessThan(3000);
      m.run(10_000);
      m.up(7, false);
      assertThat(until(m, 7, false, 0.9, 14)).isLessThan(6000);
      m.run(4000);
    }
  }

  /** Without it what was said before the answer stands, and the node is out until that is over. */
  @Test
  void anAnswerEndsWhatIsOlder() {
    double[] with = new double[SEEDS];
    double[] without = new double[SEEDS];
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel m = model(14, seed);
      SharedModel other = model(14, seed, HealthVerdicts.Part.ANSWER_ENDS);
      for (SharedModel of : List.of(m, other)) {
        of.down(7);
        of.run(8000);
        of.up(7, false);
      }
      with[seed] = until(m, 7, false, 0.95, 14);
      without[seed] = until(other, 7, false, 0.95, 14);
    }
    assertThat(median(with)).isLessThan(3000);
    assertThat(median(without)).isGreaterThan(2 * median(with));
  }

  // ---- who is to be believed

  /** A proxy whose own way to the nodes is cut calls them all gone; it alone goes without them. */
  @Test
  void oneThatIsItselfCutOffTakesNothingFromTheOthers() {
    for (int seed = 0; seed < SEEDS; seed++) {
      SharedModel m = model(14, seed);
      m.cutFromNodes(3, true);
      m.run(20_000);
      assertThat(m.wrongly()).as("seed %d", seed).isLessThan(20);
      SharedModel alone =
          model(14, seed, HealthVerdicts.Part.TWO_WITNESSES, HealthVerdicts.Part.CREDIT);
      alone.cutFromNodes(3, true);
      alone.run(20_000);
      assertThat(alone.wrongly()).isGreaterThan(30);
    }
  }

  /** A zone that is cut off sees all others gone, and is right, for itself. */
  @Test
  void aZoneThatIsCutOffTakesNothingFromTheOthers() {
    long with = 0;
    long without = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      for (boolean sides : new boolean[] {true, false}) {
        SharedModel m =
            sides
                ? model(16, seed)
                : model(16, seed, HealthVerdicts.Part.SIDES, HealthVerdicts.Part.CREDIT);
        IntStream.range(0, 16)
            .filter(p -> m.zoneOfProxy(p) == 2)
            .forEach(p -> m.cutFromNodes(p, true));
        m.run(15_000);
        with += sides ? m.wrongly() : 0;
        without += sides ? 0 : m.wrongly();
      }
    }
    assertThat(with).isLessThan(50);
    assertThat(without).isGreaterThan(10 * with + 100);
  }

  /**
   * Says of all nodes, again and again, what is not so, and under others' names too where it may.
   */
  private static SharedModel.Liar liar(int who, Kind kind, int nodes, boolean forged) {
    SplittableRandom lots = new SplittableRandom(9);
    return (from, to, message) -> {
      Datagram d = Datagram.parse(message);
      if (from != who || d.type() == Datagram.Type.ASK) {
        return message;
      }
      if (d.type() == Datagram.Type.NUDGE) {
        return new Datagram(
                d.type(), d.life(), 0, lots.nextInt(), d.cursor(), List.of(), List.of(), List.of())
            .bytes();
      }
      List<VerdictEvidence> lies = new ArrayList<>();
      int first = lots.nextInt(nodes);
      for (int i = 0; i < Datagram.room(0, 0); i++) {
        int witness = forged ? lots.nextInt(14) : who;
        lies.add(
            new VerdictEvidence(
                (first + i / (forged ? 2 : 1)) % nodes,
                kind,
                witness,
                witness % 4,
                lots.nextInt(0x10000),
                0,
                12_000));
      }
      return new Datagram(
              d.type(), d.life(), d.nonce(), lots.nextInt(), 0xFFFF, lies, List.of(), List.of())
          .bytes();
    };
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aLiarThatCallsAllNodesDeadTakesAStatedPartAtMostAndThatHeals(boolean forged) {
    SharedModel[] m = {model(14, 5)};
    m[0].liar(liar(0, Kind.OUT, 70, forged));
    long sentBefore = m[0].sent();
    m[0].run(20_000);
    double part = m[0].wrongly() / (double) (m[0].sent() - sentBefore + m[0].wrongly());
    assertThat(part)
        .as("of requests that lies moved to another node")
        .isLessThan(forged ? HealthVerdicts.MOST_OUT + 0.02 : 0.02);
    IntStream.range(0, 14)
        .forEach(
            p ->
                assertThat(m[0].state(p).view(m[0].nowMs()).outs())
                    .isLessThanOrEqualTo((int) (70 * HealthVerdicts.MOST_OUT)));
    m[0].liar((from, to, message) -> message);
    m[0].run(HealthVerdicts.LASTS_MS + 8000);
    IntStream.range(0, 70).forEach(node -> assertThat(m[0].outFor(node)).isZero());
  }

  @ParameterizedTest
  @CsvSource({"OUT, true, 4", "OUT, false, 10", "FULL, true, 4", "FULL, false, 10"})
  void othersWordTakesAPartOfTheNodesAtMost(Kind kind, boolean limited, int most) {
    HealthVerdicts j =
        new HealthVerdicts(
            8,
            0,
            0,
            1,
            (now, node, out, byOther, cause) -> {},
            limited
                ? new HealthVerdicts.Part[0]
                : new HealthVerdicts.Part[] {HealthVerdicts.Part.LIMIT});
    j.listed(IntStream.range(0, 10).toArray(), IntStream.range(0, 10).map(n -> n % 2).toArray());
    for (int i = 0; i < 20; i++) {
      j.heard(10 + i, new VerdictEvidence(i / 2, kind, 1 + i % 2, 0, i, 5 + i, 9000));
    }
    assertThat(
            kind == Kind.OUT
                ? j.outs()
                : (int) j.held(30).stream().map(VerdictEvidence::node).distinct().count())
        .isEqualTo(most);
    j.tick(9001);
    assertThat(j.outs() + j.held(9001).size()).isZero();
  }

  /** It costs an attempt each time it is believed, which is not often. */
  @Test
  void aLiarThatCallsADeadNodeSoundIsFoundOut() {
    long[] lost = new long[3];
    for (int how = 0; how < 3; how++) {
      SharedModel[] m = {how == 2 ? model(14, 5, HealthVerdicts.Part.CREDIT) : model(14, 5)};
      m[0].down(7);
      m[0].run(3000);
      if (how > 0) {
        m[0].liar(liar(0, Kind.BACK, 70, false));
      }
      long before = m[0].lostAttempts();
      m[0].run(120_000);
      lost[how] = m[0].lostAttempts() - before;
    }
    assertThat(lost[1])
        .as("%d with no lies, %d with all of them believed", lost[0], lost[2])
        .isLessThan(lost[0] * 3);
    assertThat(lost[2]).isGreaterThan(lost[1] * 4 / 3);
  }

  @Test
  void ownExperienceGoesFirst() {
    HealthVerdicts j = new HealthVerdicts(4, 0, 0, 1, (now, node, out, byOther, cause) -> {});
    j.listed(new int[] {1, 2, 3, 4, 5}, new int[] {0, 0, 0, 0, 0});
    j.answered(1000, 1, 990);
    j.heard(1100, new VerdictEvidence(1, Kind.OUT, 1, 0, 1, 900, 9000));
    j.heard(1100, new VerdictEvidence(1, Kind.OUT, 2, 0, 1, 950, 9000));
    assertThat(j.passOver(1100, 1, false)).as("it has answered since").isFalse();
    j.heard(1200, new VerdictEvidence(1, Kind.OUT, 1, 0, 2, 1050, 9000));
    assertThat(j.passOver(1200, 1, false)).as("one is not enough").isFalse();
    j.heard(1200, new VerdictEvidence(1, Kind.OUT, 2, 0, 2, 1060, 9000));
    assertThat(j.passOver(1200, 1, false)).isTrue();
    assertThat(j.passOver(1200, 9, false))
        .as("of what is not on the own list nothing is held")
        .isFalse();
    j.listed(new int[] {2}, new int[] {0});
    assertThat(j.heard(1300, new VerdictEvidence(1, Kind.OUT, 1, 0, 3, 1290, 9000))).isFalse();
    assertThat(j.digest()).isZero();
  }

  @Test
  void theLastOfAZoneIsNotTakenByOthersWord() {
    HealthVerdicts j = new HealthVerdicts(8, 0, 0, 1, (now, node, out, byOther, cause) -> {});
    j.listed(new int[] {1, 2, 3, 4, 5, 6, 7, 8}, new int[] {0, 0, 1, 1, 1, 1, 1, 1});
    for (int node = 1; node <= 2; node++) {
      for (int witness = 1; witness <= 2; witness++) {
        j.heard(10, new VerdictEvidence(node, Kind.OUT, witness, 0, node, 5, 9000));
      }
    }
    assertThat(j.passOver(10, 1, false)).isTrue();
    assertThat(j.passOver(10, 2, false)).isFalse();
  }

  /** Of an answer to nobody's question nothing is believed: it may be an hour old. */
  @Test
  void whatIsAnHourLateIsNoNews() {
    long with = 0;
    long without = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      for (boolean guarded : new boolean[] {true, false}) {
        SharedModel m = guarded ? model(14, seed) : without(14, seed, Part.ANSWERS_ALONE);
        m.wire(0.1, 0.3, 0.4);
        for (int i = 0; i < 4; i++) {
          m.down(10 * i);
        }
        m.run(20_000);
        for (int i = 0; i < 4; i++) {
          m.up(10 * i, false);
        }
        m.run(20_000);
        long before = m.wrongly();
        m.run(400_000);
        with += guarded ? m.wrongly() - before : 0;
        without += guarded ? 0 : m.wrongly() - before;
      }
    }
    assertThat(with).isZero();
    assertThat(without).isPositive();
  }

  // ---- places

  @Test
  void aNodeWithoutPlacesIsFoundOutByFewAndOneInFourLooksAllTheSame() {
    SharedModel m = SharedModel.of(plan(100, 2, true)).run(1000);
    m.noPlace(7, true);
    m.run(20_000);
    assertThat(m.passedOver()).as("requests that went straight to the next").isGreaterThan(30);
    int looks = 0;
    for (int me = 0; me < 100; me++) {
      HealthVerdicts j = new HealthVerdicts(101, me, 0, 1, (now, node, out, byOther, cause) -> {});
      j.listed(new int[] {1, 2, 3}, new int[] {0, 0, 0});
      j.heard(10, new VerdictEvidence(1, Kind.FULL, 100, 0, 77, 5, 4000));
      looks += j.passOver(20, 1, true) ? 0 : 1;
      j.answered(30, 1, 20);
      assertThat(j.passOver(40, 1, true))
          .as("it has a place for who was served just now")
          .isFalse();
    }
    assertThat(looks).isBetween(15, 35);
  }

  // ---- cold nodes

  /**
   * Of what the node could be sent in its warm-up at a pace of one, the part that it was sent; 0.65
   * is its mean capacity.
   */
  private static double used(SharedModel m, Runnable fault) {
    fault.run();
    m.up(1, true);
    double could = m.couldHave(1, 9000) / 0.3 * 0.65;
    m.run(9000);
    return m.coldSent() / could;
  }

  /** Eight proxies and a node that is asked for five times as much as any other. */
  private static SharedModel cold(int n, long seed, Part... without) {
    Set<Part> parts = without.length == 0 ? Set.of() : EnumSet.of(without[0]);
    SharedModel m = new SharedModel(new Plan(n, 12, 2, 40, seed, true), parts);
    m.wanted(1, 5);
    return m.run(15_000);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "whole",
        "half hears nothing",
        "three ways",
        "losses",
        "one pauses",
        "all restart",
        "one has ten times the load",
        "one hears and can't speak",
        "one speaks and can't hear",
        "an hour late"
      })
  void aColdNodeIsNotPushedOverByAllTogether(String fault) {
    double unguarded = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      for (boolean guarded : new boolean[] {true, false}) {
        SharedModel m = guarded ? cold(8, seed) : cold(8, seed, Part.RIGHTS);
        double used =
            used(
                m,
                () -> {
                  switch (fault) {
                    case "half hears nothing" -> m.cut((from, to) -> to < 4);
                    case "three ways" -> m.cut((from, to) -> from % 3 != to % 3);
                    case "losses" -> m.wire(0.5, 0.3, 0);
                    case "one pauses" -> m.pause(2, 5000);
                    case "all restart" -> IntStream.range(0, 8).forEach(m::start);
                    case "one has ten times the load" -> m.load(0, 1000);
                    case "one hears and can't speak" -> m.cut((from, to) -> from == 1);
                    case "one speaks and can't hear" -> m.cut((from, to) -> to == 1);
                    case "an hour late" -> m.wire(0.1, 0.3, 0.4);
                    default -> {}
                  }
                });
        if (guarded) {
          assertThat(m.worstCold())
              .as("seed %d: of what makes it fall", seed)
              .isLessThanOrEqualTo(1);
          assertThat(used)
              .as("seed %d: used where five times as much is wanted", seed)
              .isBetween(fault.equals("whole") ? 0.8 : 0.1, 1.3);
        } else {
          unguarded = Math.max(unguarded, m.worstCold());
        }
      }
    }
    assertThat(unguarded).as("with nothing that holds them back").isGreaterThan(1);
  }

  @Test
  void aZoneThatReturnsColdAsAWholeIsNotPushedOver() {
    SharedModel m = model(8, 4);
    for (int n = 0; n < 40; n += 4) {
      m.down(n);
    }
    m.run(6000);
    for (int n = 0; n < 40; n += 4) {
      m.up(n, true);
    }
    m.run(9000);
    assertThat(m.worstCold()).isLessThanOrEqualTo(1);
    assertThat(m.coldSent()).as("and it is used").isPositive();
  }

  // ---- spreading

  @Test
  void threeInTenNodesLostAtOnceAreKnownToAllAndTheBytesStayWithinTheirBound() {
    SharedModel m = model(100, 6);
    long[] before = IntStream.range(0, 100).mapToLong(m::bytes).toArray();
    for (int n = 0; n < 60; n++) {
      m.down(n * 3 % 200);
    }
    m.run(10_000);
    for (int p = 0; p < 100; p++) {
      assertThat(m.bytes(p) - before[p])
          .as("bytes in 10 s by proxy %d", p)
          .isLessThanOrEqualTo((long) (12 * SharedState.Terms.USUAL_BYTES_PER_S));
    }
    int known = (int) IntStream.range(0, 60).filter(n -> m.passOver(n * 3 % 200) >= 90).count();
    assertThat(known).as("nodes that nine in ten pass over").isGreaterThan(45);
  }

  /** What it asks is answered with what is told least, then with all there is, page by page. */
  @Test
  void oneThatWasAwayCatchesUpWithinAStatedNumberOfMessages() {
    SharedModel m = model(14, 7);
    m.cut((from, to) -> from == 3 || to == 3);
    m.load(3, 0);
    for (int n = 0; n < 20; n++) {
      m.down(n * 3);
    }
    m.run(8000);
    assertThat(IntStream.range(0, 20).filter(n -> m.state(3).out(n * 3)).count())
        .as("it was away")
        .isZero();
    m.cut((from, to) -> false);
    long before = m.state(3).view(m.nowMs()).asked();
    double began = m.nowMs();
    while (IntStream.range(0, 20).filter(n -> m.state(3).out(n * 3)).count() < 18
        && m.nowMs() - began < 20_000) {
      m.run(10);
    }
    assertThat(m.state(3).view(m.nowMs()).asked() - before)
        .as("in %.0f ms", m.nowMs() - began)
        .isLessThanOrEqualTo(60);
  }

  @Test
  void theSameSeedIsTheSameHistory() {
    long[] sums = new long[2];
    for (int i = 0; i < 2; i++) {
      SharedModel m = model(14, 11).wire(0.2, 0.1, 0);
      m.down(7);
      m.run(10_000);
      sums[i] =
          IntStream.range(0, 14).mapToLong(m::bytes).sum() * 31 + m.lostAttempts() * 7 + m.sent();
    }
    assertThat(sums[0]).isEqualTo(sums[1]);
  }

  // ---- the wire's form

  @Test
  void datagramsCutAtEveryByteOrOfAnotherVersionChangeNothing() {
    Datagram whole =
        new Datagram(
            Datagram.Type.TELL,
            9,
            77,
            5,
            3,
            List.of(
                new VerdictEvidence(-5, Kind.OUT, 300, 63, 65_535, -120, 12_000),
                new VerdictEvidence(9, Kind.FULL, 2, 0, 1, 0, 10)),
            List.of(new Datagram.Right(8, new SlowStartQuota.Message(true, -3, 1 << 19, 44))),
            List.of(new Datagram.Total(2, new TierCounters.Total(7, 65_000, Long.MAX_VALUE), 250)));
    byte[] bytes = whole.bytes();
    assertThat(Datagram.parse(bytes)).isEqualTo(whole);
    SharedState state = SharedModel.of(plan(8, 1, true)).state(0);
    for (int cut = 0; cut < bytes.length; cut++) {
      assertThat(Datagram.parse(java.util.Arrays.copyOf(bytes, cut))).as("cut at %d", cut).isNull();
      state.heard(1, 1, java.util.Arrays.copyOf(bytes, cut));
    }
    byte[] later = bytes.clone();
    later[2]++;
    assertThat(Datagram.parse(later)).isNull();
    SplittableRandom lots = new SplittableRandom(1);
    for (int i = 0; i < 20_000; i++) {
      byte[] bad = bytes.clone();
      bad[2 + lots.nextInt(bad.length - 2)] = (byte) lots.nextInt();
      state.heard(1, 1 + lots.nextInt(9), bad);
    }
    assertThat(state.view(1).evidence()).isEmpty();
  }

  @Test
  void theLargestFitsIntoADatagram() {
    List<VerdictEvidence> all = new ArrayList<>();
    for (int i = 0; i < Datagram.room(Datagram.MOST_RIGHTS, 4); i++) {
      all.add(new VerdictEvidence(i, Kind.OUT, 1, 1, i, -1e9, 1e9));
    }
    List<Datagram.Right> rights = new ArrayList<>();
    List<Datagram.Total> totals = new ArrayList<>();
    for (int i = 0; i < Datagram.MOST_RIGHTS; i++) {
      rights.add(new Datagram.Right(i, new SlowStartQuota.Message(false, i, 1, 0)));
    }
    for (int i = 0; i < Datagram.totals(all.size(), rights.size()); i++) {
      totals.add(new Datagram.Total(0, new TierCounters.Total(i, 1, 1), 1e9));
    }
    assertThat(new Datagram(Datagram.Type.TELL, 1, 1, 1, 0, all, rights, totals).bytes().length)
        .isLessThanOrEqualTo(Datagram.MOST_BYTES);
  }
}
