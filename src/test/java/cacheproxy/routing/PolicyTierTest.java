package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.RoutingApi.Group;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.QuotaResult;
import cacheproxy.routing.RoutingApi.State;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What the module makes of what its tier shares: others' word keeps it from servers, and changes
 * nothing else.
 */
class PolicyTierTest {
  /** Answers as it is told to, and writes down what it hears. */
  private static final class Word implements RoutingApi.Tier {
    final Set<Integer> out = new HashSet<>();
    final List<String> heard = new ArrayList<>();
    final List<Boolean> mayTry = new ArrayList<>();
    QuotaResult cold = QuotaResult.UNKNOWN;
    int asked;

    @Override
    public void listed(int[] servers, int[] zones) {
      heard.add("listed " + servers.length);
    }

    @Override
    public void failed(double now, int server, double sinceMs, double forMs) {
      heard.add(
          "failed " + server + " since " + Math.round(now - sinceMs) + " for " + Math.round(forMs));
    }

    @Override
    public void noConnectionSlot(double now, int server, double forMs) {
      heard.add("no place " + server);
    }

    @Override
    public void answered(double now, int server, double sinceMs, int kind) {
      heard.add("answered " + server + " kind " + kind);
    }

    @Override
    public boolean isEjected(double now, int server, boolean may) {
      mayTry.add(may);
      return out.contains(server);
    }

    @Override
    public QuotaResult spendSlowStartQuota(
        double now, int server, int kind, double capacity, int warm) {
      asked++;
      return cold;
    }
  }

  private static Rig copies() {
    return new Rig(Rig.zoned(2, false)).fleet(12);
  }

  @Test
  void whatOthersFoundOutOfReachIsPassedOverForTheRunnerUpWithNoAttemptLost() {
    Rig alone = Rig.aside().fleet(12);
    alone.read(1, 77);
    int top = alone.last().server();
    alone.end(alone.last(), Outcome.CONNECT_FAILED);
    int runnerUp = alone.last().server();
    Rig rig = Rig.aside().fleet(12);
    Word word = new Word();
    rig.policy.useTier(word);
    word.out.add(top);
    rig.read(1, 77);
    assertThat(rig.last().server()).isEqualTo(runnerUp);
    assertThat(rig.placed).hasSize(1);
    word.out.clear();
    rig.read(2, 77);
    assertThat(rig.last().server()).isEqualTo(top);
  }

  /**
   * Where all are out by others' word the top score is tried all the same: hearsay turns nothing
   * away.
   */
  @Test
  void withAllOutTheTopScoreIsTriedAllTheSame() {
    Rig rig = Rig.aside().fleet(12);
    Word word = new Word();
    rig.policy.useTier(word);
    rig.read(1, 77);
    int top = rig.last().server();
    rig.end(rig.last(), Outcome.OK);
    for (int id = 1; id <= 12; id++) {
      word.out.add(id);
    }
    rig.read(2, 77);
    assertThat(rig.last().server()).isEqualTo(top);
    assertThat(rig.answers()).isZero();
  }

  @Test
  void onlyASafeFirstAttemptMayBeATrial() {
    Rig rig = new Rig(Rig.settings(false, false, false, Group.ALL)).fleet(12);
    Word word = new Word();
    rig.policy.useTier(word);
    rig.read(1, 77);
    assertThat(word.mayTry).containsOnly(true);
    word.mayTry.clear();
    rig.write(2, Rig.NOT_IDEMPOTENT);
    assertThat(word.mayTry).isNotEmpty().containsOnly(false);
    word.mayTry.clear();
    rig.end(rig.placed.get(0), Outcome.CONNECT_FAILED);
    assertThat(word.mayTry).as("the runner-up is no trial").isNotEmpty().containsOnly(false);
  }

  @Test
  void itTellsWhatItsOwnAttemptsHaveShown() {
    Rig rig = Rig.aside().fleet(12);
    Word word = new Word();
    rig.policy.useTier(word);
    assertThat(word.heard).containsExactly("listed 12");
    rig.read(1, 77);
    int top = rig.last().server();
    rig.end(rig.last(), Outcome.OK);
    assertThat(word.heard).contains("answered " + top + " kind 0");
    rig.read(2, 77);
    rig.end(rig.last(), Outcome.CONNECT_FAILED, false, RoutingApi.NOTE_NO_CONNECTION_SLOT);
    assertThat(word.heard).contains("no place " + top);
    rig.now += 10_000;
    rig.read(3, 77);
    rig.now += 100;
    rig.policy.onAttemptEnd(
        rig.now,
        new RoutingApi.AttemptEnd(3, 0, top, Outcome.CONNECT_FAILED, 100, false, 0, null),
        rig);
    assertThat(word.heard)
        .as("dated at its beginning, as it might have come back since")
        .contains("failed " + top + " since 100 for 1000");
    rig.change(Rig.member(top, State.GONE, 0));
    assertThat(word.heard).contains("listed 11");
  }

  @Test
  void whatWaitsAtOneThatOthersFindOutOfReachGetsItsCopyAndAnAnswerElsewhereEndsTheOwnDoubt() {
    Rig rig = copies();
    Word word = new Word();
    rig.policy.useTier(word);
    rig.read(1, 77);
    int top = rig.last().server();
    word.out.add(top);
    rig.policy.onGossipedHealth(rig.now, top, true, rig);
    assertThat(rig.placed).hasSize(2);
    assertThat(rig.last().server()).isNotEqualTo(top);
    rig.policy.onGossipedHealth(rig.now, top, true, rig);
    assertThat(rig.placed.stream().filter(p -> p.server() != Rig.ORIGIN)).as("once").hasSize(2);

    Rig shunning = Rig.aside().fleet(12);
    shunning.policy.useTier(new Word());
    shunning.read(1, 77);
    shunning.policy.onAttemptEnd(
        shunning.now += 100,
        new RoutingApi.AttemptEnd(1, 0, top, Outcome.CONNECT_FAILED, 100, false, 0, null),
        shunning);
    shunning.read(2, 77);
    assertThat(shunning.last().server()).isNotEqualTo(top);
    shunning.policy.onGossipedHealth(shunning.now, top, false, shunning);
    shunning.read(3, 77);
    assertThat(shunning.last().server()).isEqualTo(top);
  }

  /**
   * An unsafe request is never copied on hearsay, and a drain that was told is not undone by it.
   */
  @Test
  void hearsayCopiesNothingUnsafeAndUndoesNoDrain() {
    Rig rig = new Rig(Rig.settings(false, false, true, Group.ALL)).fleet(12);
    rig.policy.useTier(new Word());
    rig.write(1, Rig.NOT_IDEMPOTENT);
    int at = rig.last().server();
    rig.policy.onGossipedHealth(rig.now, at, true, rig);
    assertThat(rig.placed).hasSize(1);
    rig.change(Rig.member(at, State.DRAINING, 0));
    rig.policy.onGossipedHealth(rig.now, at, false, rig);
    for (int id = 2; id < 200; id++) {
      rig.read(id, id);
      assertThat(rig.last().server()).isNotEqualTo(at);
    }
  }

  @ParameterizedTest
  @EnumSource(QuotaResult.class)
  void aColdServerIsSentWhatTheTiersRightAllows(QuotaResult says) {
    Rig rig = Rig.aside().fleet(12);
    Word word = new Word();
    word.cold = says;
    rig.policy.useTier(word);
    rig.now = 100_000;
    int sent = 0;
    for (int i = 1; i <= 4000; i++) {
      if (i == 2001) {
        rig.change(Rig.member(5, State.READY, rig.now));
      }
      rig.now += 0.25;
      rig.read(i, i);
      sent += i > 2000 && rig.last().server() == 5 ? 1 : 0;
      rig.end(rig.last(), Outcome.OK);
    }
    assertThat(word.asked).isPositive();
    switch (says) {
      case REFUSED -> assertThat(sent).isZero();
      case SPENT -> assertThat(sent).as("all under its ramp of keys").isEqualTo(word.asked);
      default -> assertThat(sent).as("by what it sees itself").isBetween(1, word.asked);
    }
  }

  /** With nothing heard it decides as it does alone: the same orders, to the last. */
  @Test
  void withNothingHeardItDecidesAsItDoesAlone() {
    Rig alone = new Rig(Rig.zoned(2, true)).fleet(12);
    Rig shared = new Rig(Rig.zoned(2, true)).fleet(12);
    shared.policy.useTier(new Word());
    for (Rig rig : List.of(alone, shared)) {
      rig.now = 50_000;
      for (int i = 1; i <= 3000; i++) {
        if (i % 700 == 0) {
          rig.change(Rig.member(i / 700, State.READY, rig.now - 100));
        }
        rig.pass(3);
        rig.read(i, i % 97);
        if (rig.attempts.containsKey(i)) {
          rig.end(
              rig.last(),
              switch (i % 11) {
                case 0 -> Outcome.CONNECT_FAILED;
                case 1 -> Outcome.MISS;
                case 2 -> Outcome.RESET;
                case 3 -> Outcome.FULL;
                default -> Outcome.OK;
              });
        }
      }
    }
    assertThat(shared.orders).isEqualTo(alone.orders).hasSizeGreaterThan(5000);
  }
}
