package cacheproxy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.membership.Membership.Part;
import cacheproxy.model.MembershipModel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The rules of membership in virtual time, on the faults they are for; each of those also with its
 * part taken out.
 */
@Timeout(120)
class MembershipTest {
  private static final double LONG = 120_000;

  private static MembershipModel tier(int n, long seed, Part... without) {
    MembershipModel m = new MembershipModel(n, Timing.USUAL, seed, without);
    m.startAll();
    m.run(10_000 + 150 * n);
    return m;
  }

  /** The worst figure over seeds, whole and with a part taken out. */
  private static void partMatters(
      Part part, ToDoubleFunction<MembershipModel> fault, int n, double most) {
    double with =
        IntStream.range(0, 5).mapToDouble(s -> fault.applyAsDouble(tier(n, s))).max().orElseThrow();
    double without =
        IntStream.range(0, 5)
            .mapToDouble(s -> fault.applyAsDouble(tier(n, s, part)))
            .max()
            .orElseThrow();
    assertThat(with).as("with " + part).isLessThanOrEqualTo(most);
    assertThat(without).as("without " + part).isGreaterThan(most);
  }

  @ParameterizedTest
  @CsvSource({"2,20", "3,20", "8,20", "14,20", "32,25", "100,40"})
  void aTierAgreesAndOneThatIsKilledIsKnownToAllWithinTheBound(int n, double boundS) {
    for (long seed = 0; seed < 5; seed++) {
      MembershipModel m = tier(n, seed);
      assertThat(m.agreed()).as("seed " + seed).isTrue();
      m.kill(n / 2);
      m.run(boundS * 1000);
      // Of two, the one that is left can't tell a death from its own deafness, and says so.
      assertThat(n == 2 ? m.member(0).doubtful() : m.agreed()).as("seed " + seed).isTrue();
      assertThat(m.falseVerdicts()).as("seed " + seed).isZero();
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 14, 100})
  void aPauseOfFiveSecondsIsNoDeath(int n) {
    for (long seed = 0; seed < 10; seed++) {
      MembershipModel m = tier(n, seed);
      m.pause(0, 5000);
      m.run(5000);
      assertThat(m.accusers(0)).as("seed " + seed).isZero();
      assertThat(m.untilAgreed(LONG)).as("seed " + seed).isLessThan(10_000);
      assertThat(m.falseVerdicts()).as("seed " + seed).isZero();
    }
  }

  @Test
  void onePausedFor30SecondsWakesAndAccusesNobody() {
    partMatters(
        Part.DOUBT,
        m -> {
          m.pause(
              13, 4000); // who is paused too, while it holds a suspicion that is refuted meanwhile
          m.run(3500);
          for (int p = 0; p < 4; p++) {
            m.pause(p, 30_000);
          }
          m.run(29_000);
          assertThat(m.accusers(0)).as("the fault was there").isEqualTo(10);
          m.run(10_000);
          assertThat(m.agreed()).isTrue();
          return IntStream.range(0, 4).map(m::falseVerdictsBy).sum();
        },
        14,
        0);
  }

  @Test
  void onePairThatCantHearEachOtherWhileOthersHearBothIsNoDeath() {
    partMatters(
        Part.INDIRECT,
        m -> {
          long before = m.events();
          m.cut((now, from, to) -> from == 1 && to == 0);
          m.run(60_000);
          assertThat(m.member(0).view(m.nowMs()).members().get(1).direct())
              .as("shown as cut")
              .isFalse();
          return m.events() - before;
        },
        8,
        0);
  }

  @Test
  void oneThatHearsNobodyAndIsHeardByAllIsNotDead() {
    partMatters(
        Part.WITNESSES,
        m -> {
          m.cut((now, from, to) -> to == 0);
          m.run(60_000);
          assertThat(m.member(0).doubtful()).as("it knows").isTrue();
          assertThat(m.falseVerdictsBy(0)).as("and accuses nobody").isZero();
          return m.worstFalse();
        },
        8,
        3);
  }

  @ParameterizedTest
  @ValueSource(ints = {8, 14})
  void oneThatIsHeardByOneAloneIsNotDead(int n) {
    for (long seed = 0; seed < 5; seed++) {
      MembershipModel m = tier(n, seed);
      m.cut((now, from, to) -> from == 0 && to != 1);
      m.run(60_000);
      assertThat(m.worstFalse()).as("seed " + seed).isLessThanOrEqualTo(n / 2);
      m.cut((now, from, to) -> false);
      assertThat(m.untilAgreed(LONG)).isLessThan(10_000);
    }
  }

  @ParameterizedTest
  @CsvSource({"8,2", "14,2", "14,3", "100,2"})
  void partsThatWereApartFor20SecondsFindEachOther(int n, int parts) {
    for (long seed = 0; seed < 3; seed++) {
      MembershipModel m = tier(n, seed);
      m.cut((now, from, to) -> from % parts != to % parts);
      m.run(20_000);
      assertThat(m.accusers(0)).as("the fault was there").isGreaterThanOrEqualTo(n / 5);
      m.cut((now, from, to) -> false);
      assertThat(m.untilAgreed(LONG)).as("seed " + seed).isLessThan(10_000);
    }
  }

  @Test
  void halvesFindEachOtherBecauseTheDeadAreAskedNowAndThen() {
    partMatters(
        Part.DEAD_ASKED,
        m -> {
          m.cut((now, from, to) -> from % 2 != to % 2);
          m.run(40_000);
          m.cut((now, from, to) -> false);
          return m.untilAgreed(60_000);
        },
        8,
        20_000);
  }

  @Test
  void halfOfAllLostForAMinuteKillsNobody() {
    partMatters(
        Part.HEALTH,
        m -> {
          m.loss(0.5);
          m.run(60_000);
          m.loss(0);
          assertThat(m.untilAgreed(LONG)).isLessThan(20_000);
          assertThat(m.falseVerdicts()).isZero();
          return IntStream.range(0, 32).map(i -> m.member(i).accusations()).sum();
        },
        32,
        400);
  }

  @Test
  void confirmationsShortenASuspicion() {
    partMatters(
        Part.CONFIRMATIONS,
        m -> {
          m.kill(3);
          return m.untilAgreed(LONG);
        },
        14,
        14_000);
  }

  @Test
  void datagramsOfADeadProcessThatComeAnHourLateBringNobodyBack() {
    partMatters(
        Part.LIVES,
        m -> {
          m.run(5000);
          List<byte[]> late = new ArrayList<>();
          m.liar(
              (from, to, message) -> {
                if (from == 1 && late.size() < 20) {
                  late.add(message);
                }
                return message;
              });
          m.run(10_000);
          m.kill(1);
          assertThat(m.untilAgreed(LONG)).isLessThan(LONG);
          m.run(3_600_000);
          long before = m.events();
          late.forEach(l -> m.deliver(1, 0, l));
          m.run(10_000);
          return m.events() - before;
        },
        8,
        0);
  }

  @ParameterizedTest
  @CsvSource({"14,4", "100,33", "8,6"})
  void manyKilledAtOnceAreKnownAndNobodyElseIsAccusedToDeath(int n, int killed) {
    for (long seed = 0; seed < 3; seed++) {
      MembershipModel m = tier(n, seed);
      m.kill(IntStream.range(1, 1 + killed).toArray());
      assertThat(m.untilAgreed(LONG)).as("seed " + seed).isLessThan(100_000);
      assertThat(m.falseVerdicts()).isZero();
      m.start(IntStream.range(1, 1 + killed).toArray());
      assertThat(m.untilAgreed(LONG)).as("seed " + seed + " back").isLessThan(20_000);
    }
  }

  @Test
  void seventyThatStartTogetherAgreeSoon() {
    MembershipModel m = new MembershipModel(70, Timing.USUAL, 5);
    m.startAll();
    assertThat(m.untilAgreed(LONG)).isLessThan(20_000);
    assertThat(m.falseVerdicts()).isZero();
  }

  /**
   * No disk and no clock: a new life goes beyond what others hold of the old one, be it alive,
   * accused or dead.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 300, 2000, 4000, 40_000})
  void aRestartGoesBeyondItsFormerLife(double afterMs) {
    MembershipModel m = tier(8, 11);
    for (int life = 0; life < 3; life++) {
      int before = m.member(5).incarnation();
      m.kill(5);
      m.run(afterMs);
      m.start(5);
      m.run(2000);
      assertThat(Incarnation.newer(m.member(5).incarnation(), before)).as("life " + life).isTrue();
      assertThat(m.untilAgreed(LONG)).isLessThan(10_000);
    }
  }

  @Test
  void oneSlowedToATenthIsNotDeadAndAccusesNobodyToDeath() {
    for (long seed = 0; seed < 5; seed++) {
      MembershipModel m = tier(8, seed);
      for (int s = 0; s < 60; s++) {
        m.pause(0, 900);
        m.run(1000);
      }
      assertThat(m.worstFalse()).as("seed " + seed).isZero();
      assertThat(m.untilAgreed(LONG)).isLessThan(10_000);
    }
  }

  @Test
  void aFlappingLinkAndOneThatFlapsToAllSettle() {
    for (boolean all : new boolean[] {false, true}) {
      MembershipModel m = tier(14, 3);
      m.cut(
          (now, from, to) ->
              (int) (now / 1000) % 2 == 0 && (from == 0 || to == 0) && (all || from + to == 1));
      m.run(60_000);
      assertThat(m.worstFalse()).isZero();
      m.cut((now, from, to) -> false);
      assertThat(m.untilAgreed(LONG)).isLessThan(10_000);
    }
  }

  @Test
  void twoProcessesOfOneNumberAreOneMember() {
    MembershipModel m = tier(8, 9);
    long before = m.falseVerdicts();
    m.startBeside(3);
    m.run(20_000);
    assertThat(m.agreed()).isTrue();
    long changes = m.events();
    m.run(10_000);
    assertThat(m.events()).as("they do not quarrel").isEqualTo(changes);
    m.takeOver(3);
    m.run(20_000);
    assertThat(m.agreed()).isTrue();
    assertThat(m.falseVerdicts()).isEqualTo(before);
  }

  /**
   * One calls all dead at numbers far ahead, and as far ahead of itself. Nobody is locked out, then
   * or for ever.
   */
  @Test
  void aLiarLocksNobodyOut() {
    for (long seed = 0; seed < 3; seed++) {
      MembershipModel m = tier(14, seed);
      SplittableRandom lots = new SplittableRandom(seed);
      m.liar(
          (from, to, message) -> {
            Message says = Message.parse(message);
            return from != 0
                ? message
                : new Message(
                        says.kind(),
                        says.life(),
                        says.sequence(),
                        new Message.Entry(State.ALIVE, lots.nextInt(Incarnation.CIRCLE)),
                        new Message.Entry(State.DEAD, lots.nextInt(Incarnation.CIRCLE)),
                        false,
                        says.nonce(),
                        says.subject(),
                        14,
                        List.of(),
                        0,
                        IntStream.range(0, 14)
                            .mapToObj(
                                i ->
                                    new Message.Entry(State.DEAD, lots.nextInt(Incarnation.CIRCLE)))
                            .toList())
                    .bytes();
          });
      m.run(60_000);
      int worst = 0;
      for (int i = 1; i < 14; i++) {
        worst = Math.max(worst, m.accusers(i));
      }
      assertThat(worst).as("seed " + seed).isLessThan(7);
      m.liar((from, to, message) -> message);
      assertThat(m.untilAgreed(LONG)).as("seed " + seed).isLessThan(60_000);
    }
  }

  /**
   * After a change of the tier's size some run by the old configuration until their next start:
   * their numbers are others'.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void oneOfAnotherTierSizeIsHeardAndItsWordOnOthersIsNot(boolean guarded) {
    Membership one =
        new Membership(
            8,
            0,
            Timing.USUAL,
            1,
            0,
            new Membership.Outlet() {
              @Override
              public void send(int to, byte[] message) {}

              @Override
              public void changed(Membership.Event event) {}
            },
            guarded ? new Membership.Part[0] : new Membership.Part[] {Membership.Part.TIERS});
    one.serving(0);
    for (int s = 1; s <= 3; s++) {
      one.heard(
          s,
          1,
          new Message(
                  Message.Kind.WORD,
                  7,
                  s,
                  new Message.Entry(State.ALIVE, 3),
                  Message.Entry.NOTHING,
                  false,
                  0,
                  -1,
                  12,
                  List.of(new Message.News(5, new Message.Entry(State.ALIVE, 9), -1)),
                  2,
                  List.of(new Message.Entry(State.ALIVE, 4)))
              .bytes());
    }
    assertThat(one.state(1)).isEqualTo(State.ALIVE);
    assertThat(List.of(one.state(5), one.state(2)))
        .containsOnly(guarded ? State.UNKNOWN : State.ALIVE);
  }

  @Test
  void aLeaveIsToldAndNobodyWaitsForIt() {
    MembershipModel m = tier(14, 2);
    m.member(4).leaving(m.nowMs());
    m.run(3000);
    assertThat(
            IntStream.range(0, 14)
                .filter(i -> i != 4)
                .allMatch(i -> m.member(i).state(4) == State.LEAVING))
        .isTrue();
    m.kill(4);
    m.run(10_000);
    assertThat(
            IntStream.range(0, 14)
                .filter(i -> i != 4)
                .allMatch(i -> m.member(i).state(4) == State.GONE))
        .isTrue();
    m.start(4);
    assertThat(m.untilAgreed(LONG)).isLessThan(10_000);
  }

  /** Whatever comes in: what a member sends is bounded, and no larger in a large tier. */
  @ParameterizedTest
  @ValueSource(ints = {14, 1000})
  void whatIsSentIsBounded(int n) {
    long[] sent = {0, 0};
    Membership one =
        new Membership(
            n,
            0,
            Timing.USUAL,
            1,
            0,
            new Membership.Outlet() {
              @Override
              public void send(int to, byte[] message) {
                assertThat(message.length).isLessThanOrEqualTo(Message.MOST_BYTES);
                sent[0] += message.length;
                sent[1]++;
              }

              @Override
              public void changed(Membership.Event event) {}
            });
    for (int ms = 0; ms < 60_000; ms++) { // a question each millisecond, with news each
      one.heard(
          ms,
          1 + ms % (n - 1),
          new Message(
                  Message.Kind.PING,
                  1 + ms % 3,
                  ms,
                  new Message.Entry(State.ALIVE, ms % 8192),
                  new Message.Entry(State.SUSPECT, ms % 8192),
                  false,
                  ms,
                  2,
                  n,
                  List.of(
                      new Message.News((ms * 7) % n, new Message.Entry(State.DEAD, ms % 8192), 3)),
                  0,
                  List.of())
              .bytes());
      one.tick(ms);
    }
    assertThat(sent[0])
        .isLessThanOrEqualTo((long) (62 * Timing.USUAL.bytesPerS()))
        .isGreaterThan(10_000);
  }

  @Test
  void datagramsThatAreCutOfAnotherVersionOrNoiseChangeNothing() {
    SplittableRandom lots = new SplittableRandom(4);
    byte[] whole =
        new Message(
                Message.Kind.ACK,
                7,
                9,
                new Message.Entry(State.ALIVE, 3),
                new Message.Entry(State.SUSPECT, 2),
                true,
                77,
                5,
                100,
                List.of(new Message.News(3, new Message.Entry(State.DEAD, 8191), 9)),
                4,
                List.of(new Message.Entry(State.GONE, 1), new Message.Entry(State.ALIVE, 2)))
            .bytes();
    assertThat(Message.parse(whole).bytes()).isEqualTo(whole);
    assertThat(Message.parse(whole).news().get(0))
        .isEqualTo(new Message.News(3, new Message.Entry(State.DEAD, 8191), 9));
    for (int cut = 0; cut < whole.length; cut++) {
      assertThat(Message.parse(Arrays.copyOf(whole, cut))).as("cut at " + cut).isNull();
    }
    byte[] later = Arrays.copyOf(whole, 200);
    later[2] = 2;
    assertThat(Message.parse(later).own()).isEqualTo(new Message.Entry(State.ALIVE, 3));
    assertThat(Message.parse(later).part()).as("what it does not know of is left").isEmpty();
    MembershipModel m = tier(8, 1);
    for (int i = 0; i < 20_000; i++) {
      byte[] noise = Arrays.copyOf(whole, lots.nextInt(300));
      for (int b = 4; b < noise.length; b++) {
        noise[b] = (byte) lots.nextInt();
      }
      m.deliver(-1 + lots.nextInt(10), lots.nextInt(8), noise);
    }
    m.run(1000);
    assertThat(m.untilAgreed(LONG)).as("and whatever it said is put right").isLessThan(60_000);
  }

  @Test
  void aTierOfOneAsksNobody() {
    MembershipModel m = new MembershipModel(1, Timing.USUAL, 1);
    m.startAll();
    m.run(10_000);
    assertThat(m.member(0).sentBytes()).isZero();
    assertThat(m.member(0).dueMs()).isInfinite();
    assertThat(m.member(0).alive()).isOne();
  }

  /** Any history of faults: once they end, all agree, and nothing sent too much. */
  @Test
  void afterAnyFaultsAllAgree() {
    for (long seed = 0; seed < 40; seed++) {
      SplittableRandom lots = new SplittableRandom(seed);
      int n = 3 + lots.nextInt(14);
      MembershipModel m = tier(n, seed);
      for (int f = 0; f < 12; f++) {
        int a = lots.nextInt(n);
        int b = lots.nextInt(n);
        switch (lots.nextInt(7)) {
          case 0 -> m.loss(lots.nextDouble() * 0.6).duplicates(lots.nextDouble() * 0.3);
          case 1 -> m.cut((now, from, to) -> from == a && to % 3 == b % 3);
          case 2 -> m.cut((now, from, to) -> from < a != to < a);
          case 3 -> m.pause(a, lots.nextDouble() * 20_000);
          case 4 -> m.kill(a);
          case 5 -> IntStream.range(0, n).filter(i -> !m.alive(i)).forEach(m::start);
          default -> m.cut((now, from, to) -> false);
        }
        m.run(lots.nextDouble() * 10_000);
      }
      m.loss(0).duplicates(0).cut((now, from, to) -> false);
      m.run(20_000);
      IntStream.range(0, n).filter(i -> !m.alive(i)).forEach(m::start);
      assertThat(m.untilAgreed(LONG)).as("seed " + seed + ", tier " + n).isLessThan(60_000);
    }
  }
}
