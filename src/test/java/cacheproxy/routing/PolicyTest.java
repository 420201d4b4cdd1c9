package cacheproxy.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.Group;
import cacheproxy.routing.RoutingApi.ListKind;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Request;
import cacheproxy.routing.RoutingApi.State;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class PolicyTest {
  // ---- CARP's path

  @Test
  void aKeyGoesToTheTopScoreAndAMissToTheOrigin() {
    Rig rig = Rig.aside().fleet(12);
    rig.read(1, 77);
    int top = topRank(77, 12);
    assertThat(rig.last().server()).isEqualTo(top);
    rig.end(rig.last(), Outcome.MISS);
    assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
    rig.end(rig.last(), Outcome.OK);
    assertThat(rig.answers()).isZero();
  }

  /**
   * Server 2 of n can't be reached, as three requests for a key of its own have found. That key.
   */
  private static long outOfReach(Rig rig, int n, int serviceClass) {
    long key = 1;
    while (topRank(key, n) != 2) {
      key++;
    }
    for (int id = 101; id <= 103; id++) {
      rig.read(id, serviceClass, key);
      rig.end(rig.last(), Outcome.CONNECT_FAILED);
      rig.end(rig.last(), Outcome.OK);
    }
    return key;
  }

  private static int topRank(long key, int n) {
    int best = 0;
    double bestScore = -1;
    for (int id = 1; id <= n; id++) {
      double score = Carp.score(Carp.keyHash(key), Carp.memberHash(id), 1);
      if (score > bestScore) {
        best = id;
        bestScore = score;
      }
    }
    return best;
  }

  @Test
  void listOrderDoesNotMatter() {
    Rig up = Rig.aside().fleet(30);
    Rig down = Rig.aside();
    List<Member> list = new java.util.ArrayList<>();
    for (int id = 30; id >= 1; id--) {
      list.add(Rig.member(id, State.READY, 0));
    }
    down.policy.onList(down.now, ListKind.FULL, list, down);
    for (int k = 1; k < 200; k++) {
      up.read(k, k);
      down.read(k, k);
      assertThat(down.last().server()).isEqualTo(up.last().server());
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"CONNECT_FAILED", "RESET"})
  void theRunnerUpTakesFailedAndResetConnections(Outcome outcome) {
    Rig rig = Rig.aside().fleet(12);
    rig.read(1, 77);
    int top = rig.last().server();
    rig.end(rig.last(), outcome);
    int runnerUp = rig.last().server();
    assertThat(runnerUp).isNotIn(top, Rig.ORIGIN);
    rig.end(rig.last(), Outcome.OK);
    for (int id = 2; id <= 3; id++) {
      rig.read(id, 77);
      assertThat(rig.last().server())
          .as("a broken connection or two are no sign of a lost server")
          .isEqualTo(top);
      rig.end(rig.last(), outcome);
      rig.end(rig.last(), Outcome.OK);
    }
    rig.read(4, 77);
    assertThat(rig.last().server())
        .as("the key stays with the runner-up while its server is shunned")
        .isEqualTo(runnerUp);
  }

  /**
   * A server in reach loses some connections on bad days; passing it over for each moved all keys.
   */
  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"CONNECT_FAILED", "RESET"})
  void breaksWithAnswersBetweenShunNobody(Outcome outcome) {
    Rig rig = Rig.aside().fleet(12);
    rig.read(1, 77);
    int top = rig.last().server();
    rig.end(rig.last(), Outcome.OK);
    for (int id = 2; id < 30; id++) {
      rig.now += 5000; // the key does not turn hot
      rig.read(id, 77);
      assertThat(rig.last().server()).isEqualTo(top);
      rig.end(rig.last(), id % 3 == 0 ? Outcome.MISS : outcome);
      rig.end(rig.last(), Outcome.OK);
    }
  }

  @Test
  void aServerThatDoesNotComeUpInAllItsTimeIsShunnedAtOnce() {
    Rig rig = Rig.aside().fleet(12);
    rig.read(1, 77);
    int top = rig.last().server();
    rig.policy.onAttemptEnd(
        rig.now += 100,
        new AttemptEnd(1, 0, top, Outcome.CONNECT_FAILED, 100, false, 0, null),
        rig);
    rig.end(rig.last(), Outcome.OK);
    rig.read(2, 77);
    assertThat(rig.last().server()).isNotEqualTo(top);
  }

  @Test
  void writesGoToTheOriginAside() {
    Rig rig = Rig.aside().fleet(5);
    rig.write(1, Rig.NOT_IDEMPOTENT);
    assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
  }

  @Test
  void throughModeSendsWritesByRank() {
    Rig rig = new Rig(Rig.settings(false, false, false, Group.ALL)).fleet(5);
    rig.write(1, Rig.NOT_IDEMPOTENT);
    assertThat(rig.last().server()).isEqualTo(topRank(7, 5));
  }

  @Test
  void keylessRequestsAreRankedByTheirId() {
    Rig rig = Rig.aside().fleet(12);
    Set<Integer> used = new HashSet<>();
    for (int id = 1; id <= 100; id++) {
      rig.read(id, 0);
      used.add(rig.last().server());
    }
    assertThat(used).hasSizeGreaterThan(8);
  }

  // ---- rule 1: one final answer in time

  @ParameterizedTest
  @ValueSource(ints = {Rig.IDEMPOTENT, Rig.IDEMPOTENCY_KEY, Rig.NOT_IDEMPOTENT})
  void aSilentServerStillLeavesOneAnswerAtTheDeadline(int serviceClass) {
    Rig rig = Rig.aside().fleet(5);
    rig.policy.onRequest(
        rig.now,
        new Request(
            1,
            serviceClass,
            0,
            7,
            rig.now + 1000,
            Double.NaN,
            0,
            serviceClass != Rig.IDEMPOTENT,
            false),
        rig);
    rig.pass(999);
    assertThat(rig.answers()).isZero();
    rig.pass(1);
    assertThat(rig.answers()).isEqualTo(1);
    int sent = rig.placed.size();
    rig.pass(5000);
    assertThat(rig.answers()).isEqualTo(1);
    assertThat(rig.placed).hasSize(sent);
  }

  @Test
  void lateAndRepeatedNewsOfAFinishedRequestChangesNothing() {
    Rig rig = Rig.aside().fleet(5);
    rig.read(1, 7);
    Rig.Placed first = rig.last();
    rig.policy.onClientGone(rig.now, 1, rig);
    int orders = rig.orders.size();
    rig.policy.onClientGone(rig.now, 1, rig);
    rig.end(first, Outcome.TIMEOUT, true, 0);
    rig.end(first, Outcome.TIMEOUT, true, 0);
    rig.policy.onTimer(rig.now, 123456, rig);
    rig.pass(3000);
    assertThat(rig.orders).hasSize(orders);
  }

  @Test
  void anEmptyListIsAnsweredAtOnce() {
    Rig rig = Rig.aside();
    rig.policy.onList(rig.now, ListKind.CACHED, List.of(), rig);
    rig.read(1, 7);
    rig.write(2, Rig.NOT_IDEMPOTENT);
    assertThat(rig.denied).containsExactly(1, 2);
  }

  @Test
  void zeroWeightsShareEqually() {
    Rig rig = Rig.aside();
    rig.policy.onList(
        rig.now,
        ListKind.FULL,
        List.of(
            new Member(1, 0, 0, 0, State.READY, 0, 0), new Member(2, 0, 0, 0, State.READY, 0, 0)),
        rig);
    Set<Integer> used = new HashSet<>();
    for (int id = 1; id <= 40; id++) {
      rig.read(id, id);
      used.add(rig.last().server());
    }
    assertThat(used).containsExactlyInAnyOrder(1, 2);
  }

  // ---- rule 2: no effect twice

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
  void anUnsafeRequestThatMayHaveRunIsFailedNotRepeated(Outcome outcome) {
    Rig rig = Rig.aside().fleet(5);
    rig.write(1, Rig.NOT_IDEMPOTENT);
    rig.end(rig.last(), outcome);
    rig.pass(2000);
    assertThat(rig.placed).hasSize(1);
    assertThat(rig.failed).containsExactly(1);
    assertThat(rig.denied).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"FULL", "CONNECT_FAILED"})
  void anUnsafeRequestKnownNotToHaveRunMayGoAgain(Outcome outcome) {
    Rig rig = Rig.aside().fleet(5);
    rig.write(1, Rig.NOT_IDEMPOTENT);
    rig.end(rig.last(), outcome);
    rig.pass(500);
    assertThat(rig.placed).hasSize(2);
  }

  /**
   * Its last byte has to come within the window, also on a connection that takes all its time to
   * come up (100 ms).
   */
  @Test
  void aKeyedRequestIsRepeatedOnlyInsideItsWindow() {
    Rig inside = new Rig(Rig.settings(false, false, false, Group.ALL)).fleet(12);
    inside.write(1, Rig.IDEMPOTENCY_KEY);
    inside.now += 299;
    inside.end(inside.last(), Outcome.RESET);
    assertThat(inside.placed).hasSize(2);
    Rig late = new Rig(Rig.settings(false, false, false, Group.ALL)).fleet(12);
    late.write(1, Rig.IDEMPOTENCY_KEY);
    late.now += 300;
    late.end(late.last(), Outcome.RESET);
    assertThat(late.placed).hasSize(1);
    assertThat(late.answers()).isEqualTo(1);
  }

  /**
   * Two requests of one key, the second waiting for the first one's fetch: whichever classes,
   * tenants and deadlines the two have, each is judged by its own once the fetch has broken off and
   * may have run.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 0, 0, 1000",
    "0, 1, 1, 1000",
    "0, 2, 0, 1000",
    "1, 0, 1, 1000",
    "1, 1, 0, 1000",
    "1, 2, 1, 1000",
    "2, 0, 0, 1000",
    "2, 1, 1, 1000",
    "2, 2, 0, 1000",
    "2, 0, 1, 120",
    "0, 2, 1, 120",
    "1, 2, 0, 120"
  })
  void whoJoinsAFetchIsJudgedByItsOwnClassTenantAndDeadline(
      int leads, int follows, int tenant, double leaderWaits) {
    Rig rig = new Rig(Rig.tenants(1000, 1000)).fleet(12);
    for (int id = 1; id <= 2; id++) {
      rig.policy.onRequest(
          rig.now,
          new Request(
              id,
              id == 1 ? leads : follows,
              id == 1 ? 0 : tenant,
              77,
              rig.now + (id == 1 ? leaderWaits : 1000),
              Double.NaN,
              0,
              false,
              false),
          rig);
      rig.end(rig.last(), Outcome.MISS);
    }
    List<Rig.Placed> fetches = rig.placed.stream().filter(p -> p.server() == Rig.ORIGIN).toList();
    assertThat(fetches).as("one fetch for both").hasSize(1);
    Rig.Placed fetch = fetches.get(0);
    assertThat(fetch.request()).isEqualTo(1);
    int before = rig.placed.size();
    if (leaderWaits < 1000) {
      rig.pass(leaderWaits); // its own deadline, and nobody else's
      rig.end(fetch, Outcome.CANCELLED);
      assertThat(rig.denied.contains(1))
          .as("refused, or failed as it may have run")
          .isEqualTo(leads == Rig.IDEMPOTENT);
      assertThat(rig.failed.contains(1)).isEqualTo(leads != Rig.IDEMPOTENT);
    } else {
      rig.end(fetch, Outcome.RESET);
      assertThat(rig.failed.contains(1))
          .as("it may have run and nothing may repeat it")
          .isEqualTo(leads != Rig.IDEMPOTENT);
    }
    assertThat(rig.denied.contains(2) || rig.failed.contains(2))
        .as("nothing of the second has run")
        .isFalse();
    List<Rig.Placed> second = rig.placed.subList(before, rig.placed.size());
    boolean safeLeads = leads == Rig.IDEMPOTENT && leaderWaits == 1000;
    assertThat(second).as("the fetch is asked for once, by one of them").hasSize(1);
    Rig.Placed again = second.get(0);
    assertThat(again.server()).isEqualTo(Rig.ORIGIN);
    if (again.request() == 2) { // it may run now, and its own class says what follows
      rig.end(again, Outcome.RESET);
      assertThat(rig.failed.contains(2)).isEqualTo(follows != Rig.IDEMPOTENT);
      assertThat(rig.denied.contains(2)).isFalse();
    } else {
      assertThat(safeLeads).isTrue();
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = Group.class,
      names = {"ZONE", "CELL"})
  void aKeyedRequestStaysInItsGroupAndIsNeverRefused(Group group) {
    for (int key = 1; key < 60; key++) {
      Rig rig = new Rig(Rig.settings(false, false, false, group)).fleet(12);
      rig.policy.onRequest(
          rig.now,
          new Request(1, Rig.IDEMPOTENCY_KEY, 0, key, rig.now + 1000, Double.NaN, 0, true, false),
          rig);
      int first = rig.last().server();
      rig.end(rig.last(), Outcome.RESET);
      if (rig.placed.size() > 1) {
        int then = rig.last().server();
        assertThat(group == Group.ZONE ? then % 2 : then / 4)
            .isEqualTo(group == Group.ZONE ? first % 2 : first / 4);
      } else {
        assertThat(rig.failed).containsExactly(1);
      }
      assertThat(rig.denied).isEmpty();
    }
  }

  @Test
  void attemptsStayWithinTheLimitAndOneAtATime() {
    Rig rig = Rig.aside().fleet(12);
    rig.read(1, 7);
    for (int i = 0; i < 6 && rig.answers() == 0; i++) {
      rig.end(rig.last(), Outcome.CONNECT_FAILED);
    }
    assertThat(rig.placed).hasSizeLessThanOrEqualTo(3);
    assertThat(rig.answers()).isEqualTo(1);
  }

  // ---- rule 3: drains

  @Test
  void aDrainingOrGoneServerGetsNothingNewNotEvenAWaitingRepeat() {
    Rig rig = Rig.aside().fleet(3);
    rig.change(Rig.member(1, State.DRAINING, 0), Rig.member(2, State.GONE, 0));
    for (int id = 1; id <= 50; id++) {
      rig.read(id, id);
      assertThat(rig.last().server()).isEqualTo(3);
    }
    rig.read(99, 5);
    rig.change(Rig.member(Rig.ORIGIN, State.DRAINING, 0));
    int sent = rig.placed.size();
    rig.end(rig.last(), Outcome.MISS);
    assertThat(rig.placed).hasSize(sent);
    assertThat(rig.denied).containsExactly(99);
  }

  // ---- rule 4: cold servers

  /** At its start it takes half of 0.3, at half its warm-up half of 0.65, and all once warm. */
  @Test
  void aColdServerTakesNoMoreThanItsRamp() {
    assertThat(taken(0)).isBetween(0.15, 0.45);
    assertThat(taken(4000)).isBetween(0.4, 0.8);
    assertThat(taken(8000)).isEqualTo(1.0);
  }

  /** Part of its own keys that server 5 gets in the second from this long after its start. */
  private static double taken(double age) {
    Rig rig = Rig.aside().fleet(12);
    rig.now = 100000;
    int own = 0;
    int got = 0;
    for (int i = 1; i <= 20000; i++) {
      if (i == 16001) {
        rig.change(Rig.member(5, State.READY, rig.now - age));
      }
      rig.now += 0.25;
      int key = (i - 1) % 4000 + 1;
      rig.read(i, key);
      if (i > 16000 && topRank(key, 12) == 5) {
        own++;
        got += rig.last().server() == 5 ? 1 : 0;
      }
      rig.end(rig.last(), Outcome.OK);
    }
    return (double) got / own;
  }

  /**
   * So many servers left of twelve, a read every 4 ms for 2 s: what a cold one is sent, by the mean
   * of warm ones.
   */
  @ParameterizedTest
  @CsvSource({"12, 0, 0.1, 0.5", "12, 5000, 0.5, 1.0", "6, 0, 0.1, 0.5", "3, 0, 0.1, 0.5"})
  void aColdServerIsSentItsPartHoweverLargeItsSetOfKeys(
      int left, double age, double least, double most) {
    Rig rig = Rig.aside().fleet(12);
    for (int id = left + 1; id <= 12; id++) {
      rig.change(Rig.member(id, State.GONE, 0));
    }
    rig.now = 100000;
    int[] sent = new int[13];
    for (int key = 1; key <= 1000; key++) {
      if (key == 501) {
        rig.change(Rig.member(2, State.READY, rig.now - age));
        sent = new int[13];
      }
      rig.now += 4;
      rig.read(key, key * 7919L);
      sent[rig.last().server()]++;
      rig.end(rig.last(), Outcome.OK);
    }
    double warm = (500.0 - sent[2]) / (left - 1);
    assertThat(sent[2] / warm).isBetween(least, most);
  }

  /**
   * All ask for its own keys at once, a hundred in 200 ms: its part of the warm ones' answers is
   * some four.
   */
  @Test
  void aColdServerIsNotSentABurstOfItsOwnKeys() {
    Rig rig = Rig.aside().fleet(12);
    rig.now = 100000;
    for (int id = 1; id <= 1000; id++) {
      rig.now += 4;
      rig.read(id, id);
      rig.end(rig.last(), Outcome.OK);
    }
    rig.change(Rig.member(5, State.READY, rig.now));
    int got = 0;
    for (int key = 1001, asked = 0; asked < 100; key++) {
      if (topRank(key, 12) == 5) {
        asked++;
        rig.now += 2;
        rig.read(key, key);
        got += rig.last().server() == 5 ? 1 : 0;
        rig.end(rig.last(), Outcome.OK);
      }
    }
    assertThat(got).isBetween(1, 6);
  }

  /** Out by hand it gets nothing, whatever the list says, and counts as cold from its return. */
  @Test
  void aServerThatIsOutByHandGetsNothingUntilTheCallBack() {
    Rig rig = Rig.aside().fleet(3);
    rig.now = 100000;
    rig.policy.onManualEjection(rig.now, 2, true, rig);
    rig.change(Rig.member(2, State.GONE, 0));
    rig.change(Rig.member(2, State.READY, rig.now));
    assertThat(rig.policy.endpointCounts(rig.now)).isEqualTo(new RoutingApi.EndpointCounts(3, 1));
    for (int key = 1; key <= 300; key++) {
      rig.read(key, key);
      assertThat(rig.last().server()).isNotEqualTo(2);
      rig.end(rig.last(), Outcome.OK);
    }
    rig.now += 20000;
    rig.policy.onManualEjection(rig.now, 2, false, rig);
    int got = 0;
    for (int key = 301; key <= 900; key++) {
      rig.read(key, key);
      got += rig.last().server() == 2 ? 1 : 0;
      rig.end(rig.last(), Outcome.OK);
    }
    assertThat(got).isBetween(1, 100);
  }

  /** A repeat must not land on a cold server: a lost hall came back and fell over under repeats. */
  @Test
  void repeatsKeepOffAColdServer() {
    Rig rig = Rig.aside().fleet(3);
    rig.change(Rig.member(2, State.READY, rig.now), Rig.member(3, State.READY, rig.now));
    for (int id = 1; id <= 200; id++) {
      rig.read(id, id);
      Rig.Placed p = rig.last();
      if (p.server() == 1) {
        rig.end(p, Outcome.FULL);
        assertThat(rig.last().server()).isNotIn(2, 3);
      }
      rig.end(rig.last(), Outcome.OK);
    }
  }

  // ---- departures

  /**
   * A key that draws much of the traffic is spread over several ranks; cool again it has one
   * server.
   */
  @Test
  void aHotKeyIsSpreadAndComesBack() {
    Rig rig = Rig.aside().fleet(20);
    Set<Integer> hot = new HashSet<>();
    for (int id = 1; id <= 400; id++) {
      rig.now += 5;
      rig.read(id, id % 4 == 0 ? 7 : id + 1000);
      if (id % 4 == 0 && id > 200) {
        hot.add(rig.last().server());
      }
      rig.end(rig.last(), Outcome.OK);
    }
    assertThat(hot).hasSizeBetween(5, 12);
    rig.now += 60000;
    Set<Integer> calm = new HashSet<>();
    for (int id = 1001; id <= 1020; id++) {
      rig.now += 3000;
      rig.read(id, 7);
      calm.add(rig.last().server());
      rig.end(rig.last(), Outcome.OK);
    }
    assertThat(calm).containsExactly(topRank(7, 20));
  }

  /**
   * Of many misses for one key one goes to the origin; the others find the object where it was
   * missed.
   */
  @Test
  void oneFetchPerKey() {
    Rig rig = Rig.aside().fleet(5);
    for (int id = 1; id <= 4; id++) {
      rig.read(id, 7);
    }
    for (Rig.Placed p : List.copyOf(rig.placed)) {
      rig.end(p, Outcome.MISS);
    }
    assertThat(rig.placed.stream().filter(p -> p.server() == Rig.ORIGIN)).hasSize(1);
    rig.end(rig.last(), Outcome.OK);
    assertThat(rig.placed).hasSize(8);
    assertThat(rig.last().server()).isEqualTo(topRank(7, 5));
  }

  /**
   * A server that takes work and answers none: the runner-up is asked while origin and answer still
   * fit the aim.
   */
  @Test
  void aHungServerIsPassedOverInTime() {
    Rig rig = Rig.aside().fleet(5);
    rig.read(1, 7);
    Rig.Placed hung = rig.last();
    rig.pass(200);
    assertThat(rig.cancelled).containsExactly("1/0");
    rig.end(hung, Outcome.CANCELLED);
    assertThat(rig.last().server()).isNotIn(hung.server(), Rig.ORIGIN);
  }

  /** Doubts have a budget: when all servers slow down together, few requests are sent twice. */
  @Test
  void aSharedSlowdownIsNotRepeatedIntoAJam() {
    Rig rig = new Rig(Rig.settings(true, false, true, Group.ALL)).fleet(12);
    for (int id = 1; id <= 200; id++) {
      rig.now += 1;
      rig.read(id, id);
    }
    rig.pass(400);
    assertThat(rig.placed).hasSizeLessThan(200 + 10);
  }

  /** An origin that answers nothing in time is asked less and less, and again once it answers. */
  @Test
  void aJammedOriginIsLeftToRecover() {
    Rig rig = Rig.aside().fleet(5);
    int late = 0;
    for (int id = 1; id <= 100; id++) {
      rig.now += 20;
      rig.read(id, id);
      rig.end(rig.last(), Outcome.MISS);
      if (rig.last().server() == Rig.ORIGIN) {
        late += id > 50 ? 1 : 0;
        rig.end(rig.last(), Outcome.FULL);
      }
    }
    assertThat(late).isLessThan(15);
    assertThat(rig.denied).hasSize(100);
  }

  /**
   * A throttled origin gets no fetch that could not answer in time, and is asked again after a
   * while of calm.
   */
  @Test
  void aThrottleDoesNotStayShut() {
    Rig rig = Rig.aside().fleet(5);
    int fetched = 0;
    for (int id = 1; id <= 200; id++) {
      rig.now += 20;
      rig.read(id, id);
      rig.end(rig.last(), Outcome.MISS);
      if (rig.last().server() == Rig.ORIGIN) {
        fetched++;
        rig.now += 900;
        rig.endAfter(rig.last(), Outcome.OK, 900);
      }
    }
    assertThat(fetched).isLessThan(150);
    rig.now += 30000;
    rig.read(1000, 1000);
    rig.end(rig.last(), Outcome.MISS);
    assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
  }

  /**
   * The instances of a fleet must not call the small list service together, nor at once after a
   * failure.
   */
  @Test
  void theListIsAskedForOnceWithDelay() {
    Rig rig = new Rig(Rig.settings(true, true, false, Group.ALL)).fleet(5);
    assertThat(rig.watches).isZero();
    rig.pass(5000);
    assertThat(rig.watches).isEqualTo(1);
    rig.policy.onList(rig.now, ListKind.FAILED, List.of(), rig);
    assertThat(rig.watches).isEqualTo(1);
    rig.pass(5000);
    assertThat(rig.watches).isEqualTo(2);
    rig.change();
    rig.pass(60000);
    assertThat(rig.watches).isEqualTo(2);
  }

  /** In a crowd the tenant far over its quota is refused, the one inside its quota hardly. */
  @Test
  void refusalsComeOffTheTenantOverItsQuota() {
    Rig rig = new Rig(Rig.tenants(100, 100)).fleet(12);
    int[] refused = new int[2];
    for (int id = 1; id <= 1000; id++) {
      rig.now += 10;
      int tenant = id % 10 == 0 ? 1 : 0;
      int before = rig.denied.size();
      rig.policy.onRequest(
          rig.now,
          new Request(id, Rig.IDEMPOTENT, tenant, id, rig.now + 1000, Double.NaN, 0, false, false),
          rig);
      if (rig.denied.size() > before) {
        refused[tenant]++;
      } else {
        rig.endAfter(rig.last(), Outcome.OK, id % 2 == 0 ? 290 : 20);
      }
    }
    assertThat(refused[0]).isGreaterThan(150);
    assertThat(refused[1]).isLessThan(10);
  }

  /** Late answers shed reads; timely ones again let all through. */
  @Test
  void crowdingShedsReadsAndEnds() {
    Rig rig = Rig.aside().fleet(12);
    for (int id = 1; id <= 300; id++) {
      rig.now += 10;
      int sent = rig.placed.size();
      rig.read(id, id);
      if (rig.placed.size() > sent) {
        rig.endAfter(rig.last(), Outcome.OK, 290);
      }
    }
    assertThat(rig.denied).hasSizeGreaterThan(150);
    List<Double> late = rig.advised.subList(100, rig.advised.size());
    assertThat(late)
        .allMatch(ms -> ms >= 250 && ms <= 500)
        .doesNotHaveDuplicates(); // not all at once again
    rig.now += 60000;
    rig.denied.clear();
    for (int id = 1001; id <= 1300; id++) {
      rig.now += 10;
      rig.read(id, id);
      rig.endAfter(rig.last(), Outcome.OK, 20);
    }
    assertThat(rig.denied).isEmpty();
  }

  /** A few hung servers are no crowd: their time-outs refuse nobody else. */
  @Test
  void hungServersDoNotShedTheOthers() {
    Rig rig = new Rig(Rig.settings(true, false, true, Group.ALL)).fleet(12);
    List<Rig.Placed> hung = new java.util.ArrayList<>();
    for (int id = 1; id <= 600; id++) {
      rig.pass(10);
      int sent = rig.placed.size();
      rig.read(id, id);
      if (rig.placed.size() > sent) {
        if (rig.last().server() <= 2) {
          hung.add(rig.last());
        } else {
          rig.endAfter(rig.last(), Outcome.OK, 20);
        }
      }
    }
    assertThat(hung).hasSizeBetween(2, 60);
    assertThat(rig.denied.stream().filter(id -> hung.stream().noneMatch(p -> p.request() == id)))
        .isEmpty();
  }

  /**
   * Where a late answer is worth nothing a request was given up on after its aim and answered only
   * as its time was over.
   */
  @Test
  void whatIsGivenUpOnAfterItsAimIsAnsweredAtOnce() {
    Rig rig = Rig.worthlessLate().fleet(3);
    rig.read(1, 77);
    assertThat(rig.last().timeoutMs()).isEqualTo(300);
    rig.now += 301;
    rig.end(rig.last(), Outcome.TIMEOUT);
    assertThat(rig.placed).hasSize(1);
    assertThat(rig.denied).containsExactly(1);
    rig.pass(1000);
    assertThat(rig.answers()).isEqualTo(1);
  }

  /** A suspect comes back by a trial: the probe's answer, not a client's request, finds out. */
  @Test
  void aShunnedServerIsProbedBeforeItGetsRequests() {
    Rig rig = Rig.aside().fleet(3);
    long key = outOfReach(rig, 3, Rig.IDEMPOTENT);
    rig.now += 1100;
    rig.read(2, key);
    assertThat(rig.last().server()).isNotEqualTo(2);
    assertThat(rig.probed).containsExactly(2);
    rig.policy.onHealthCheck(rig.now, 2, Outcome.OK, 3, null, rig);
    rig.read(3, key);
    assertThat(rig.last().server()).isEqualTo(2);
  }

  /**
   * Where no read is safe, a server that was out of reach for a while was never tried again, by a
   * probe neither, and its keys stayed with their runner-ups for good. While safe reads come, one
   * that is not is no trial.
   */
  @ParameterizedTest
  @CsvSource({
    "true, 2, false, true",
    "true, 1, false, true",
    "false, 2, false, true",
    "false, 1, false, true",
    "false, 2, true, false"
  })
  void whereNoReadIsSafeAnotherIsATrial(
      boolean probes, int serviceClass, boolean safeOnesCome, boolean back) {
    Rig rig = (probes ? Rig.aside() : Rig.unprobed(true)).fleet(12);
    long key = outOfReach(rig, 12, serviceClass);
    rig.now += 5000;
    rig.placed.clear();
    long other = key;
    for (int id = 200; id < 300; id += 2) {
      rig.now += 20;
      while (topRank(++other, 12) == 2) {
        // passed over: that one would be the trial itself
      }
      if (safeOnesCome) {
        rig.read(id, other);
        rig.end(rig.last(), Outcome.OK);
      }
      rig.read(id + 1, serviceClass, key);
      rig.end(rig.last(), Outcome.OK);
      if (!rig.probed.isEmpty()) {
        rig.policy.onHealthCheck(rig.now, 2, Outcome.OK, 3, null, rig);
      }
    }
    assertThat(rig.probed.size()).isEqualTo(probes ? 1 : 0);
    assertThat(rig.placed.stream().anyMatch(p -> p.server() == 2)).isEqualTo(back);
  }

  /**
   * A suspect's trial was marked and its request then refused for crowding: none was ever sent
   * again.
   */
  @Test
  void crowdingDoesNotUseUpTrials() {
    Rig rig = Rig.unprobed(false).fleet(12);
    outOfReach(rig, 12, Rig.IDEMPOTENT);
    for (int id = 1001; id <= 1400; id++) { // all answers come late, and more and more is refused
      rig.now += 10;
      int sent = rig.placed.size();
      rig.read(id, id);
      if (rig.placed.size() > sent) {
        rig.endAfter(rig.last(), Outcome.OK, 350);
      }
    }
    assertThat(rig.denied).hasSizeGreaterThan(100);
    rig.now += 60000;
    rig.placed.clear();
    for (int id = 2001; id <= 2300; id++) {
      rig.now += 10;
      rig.read(id, id);
      rig.endAfter(rig.last(), Outcome.OK, 20);
    }
    assertThat(rig.placed).anyMatch(p -> p.server() == 2);
  }

  /**
   * Its second copy was answered first, so the slow attempt was called off and could never clear
   * its server.
   */
  @Test
  void anOverdueServerIsTriedAgainAfterOneAim() {
    Rig rig = Rig.unprobed(true).fleet(12);
    rig.read(1, 77);
    int top = rig.last().server();
    rig.pass(200);
    assertThat(rig.last().server()).as("the second copy's").isNotEqualTo(top);
    rig.end(rig.last(), Outcome.OK);
    rig.end(rig.placed.get(0), Outcome.CANCELLED, true, 0);
    rig.read(2, 77);
    assertThat(rig.last().server()).isNotEqualTo(top);
    rig.end(rig.last(), Outcome.OK);
    rig.pass(310);
    rig.read(3, 77);
    assertThat(rig.last().server()).isEqualTo(top);
  }

  /** Clients that were refused come back at once: their repeats took the room of first tries. */
  @Test
  void repeatsAreShedBeforeFirstTries() {
    Rig rig = Rig.aside().fleet(12);
    for (int id = 1; id <= 1200; id++) {
      rig.now += 10;
      int sent = rig.placed.size();
      rig.policy.onRequest(
          rig.now,
          new Request(id, Rig.IDEMPOTENT, 0, id, rig.now + 1000, Double.NaN, 0, false, id % 2 == 0),
          rig);
      if (rig.placed.size() > sent) {
        rig.endAfter(rig.last(), Outcome.OK, id % 4 < 3 ? 20 : 290); // a quarter comes too late
      }
    }
    assertThat(rig.denied).hasSizeGreaterThan(60).allMatch(id -> id % 2 == 0);
  }

  // ---- bad input

  @Test
  void nonsenseIsRefusedByName() {
    Rig rig = Rig.aside().fleet(3);
    assertThatThrownBy(
            () -> rig.change(Rig.member(1, State.READY, 0), Rig.member(1, State.READY, 0)))
        .hasMessageContaining("member 1 is listed twice");
    assertThatThrownBy(() -> rig.change(new Member(8, 0, 0, 0, State.READY, Float.NaN, 0)))
        .hasMessageContaining("member 8 has weight NaN");
    assertThatThrownBy(() -> rig.change(new Member(8, 5, 0, 0, State.READY, 1, 0)))
        .hasMessageContaining("zone 5");
    assertThatThrownBy(
            () ->
                rig.policy.onRequest(
                    rig.now, new Request(1, 9, 0, 1, rig.now + 10, 1, 0, false, false), rig))
        .hasMessageContaining("class 9");
    assertThatThrownBy(
            () ->
                rig.policy.onRequest(
                    rig.now, new Request(1, 0, 3, 1, rig.now + 10, 1, 0, false, false), rig))
        .hasMessageContaining("tenant 3");
  }

  /**
   * The fetch of an origin that was replaced meanwhile was never taken off: its key stayed out of
   * reach.
   */
  @Test
  void aFetchOfAnOriginThatIsGoneDoesNotBarItsKey() {
    Rig rig = Rig.aside().fleet(8);
    rig.read(1, 5);
    rig.end(rig.last(), Outcome.MISS);
    Rig.Placed fetch = rig.last();
    assertThat(fetch.server()).isEqualTo(Rig.ORIGIN);
    rig.change(
        Rig.member(Rig.ORIGIN, State.GONE, 0),
        new RoutingApi.Member(77, 1, 1, 0, State.READY, 1, 0));
    rig.end(fetch, Outcome.RESET);
    assertThat(rig.last().server()).isEqualTo(77);
    rig.end(rig.last(), Outcome.OK);
    rig.read(2, 5);
    rig.end(rig.last(), Outcome.MISS);
    assertThat(rig.last().server()).isEqualTo(77);
    assertThat(rig.last().request()).isEqualTo(2);
  }

  /**
   * An error is no failed connection: the key is kept there, so that is where it is asked for
   * again.
   */
  @Test
  void anErrorStaysPut() {
    Rig rig = Rig.aside().fleet(8);
    rig.read(1, 5);
    Rig.Placed first = rig.last();
    rig.end(first, Outcome.ERROR);
    assertThat(rig.last().attempt()).isEqualTo(1);
    assertThat(rig.last().server()).isEqualTo(first.server());
    rig.end(rig.last(), Outcome.ERROR);
    assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
  }

  /** A hot key's reads stay in the zone more often than the ranks that share it do. */
  @Test
  void aHotKeyIsReadInZoneFirst() {
    Rig rig = Rig.aside().fleet(8);
    int before = rig.placed.size();
    for (int id = 1; id <= 400; id++) {
      rig.read(id, 5);
      rig.end(rig.last(), Outcome.OK);
    }
    long inZone = rig.placed.stream().skip(before + 50).filter(p -> p.server() % 2 == 0).count();
    assertThat(inZone).isGreaterThan(350 * 6 / 10);
  }

  /**
   * A third of what comes is too much: what is late already goes, then repeats or tenants over
   * their quota; advice lies within what the settings allow. Who has no time left is turned away
   * though all fit.
   */
  @org.junit.jupiter.params.ParameterizedTest(name = "{0}")
  @org.junit.jupiter.params.provider.CsvSource({
    "late ones, 0, false, 250, 290",
    "repeats, 0, true, 250, 290",
    "a tenant over its quota, 1, false, 150, 290"
  })
  void whoIsTurnedAwayWhereTheProcessorIsNotEnough(
      String what, int tenant, boolean retry, int least, int most) {
    Rig rig =
        retry ? Rig.aside() : new Rig(Rig.tenants(1000, 10)); // between tenants repeats say nothing
    int[] away = new int[2];
    for (int i = 0; i < 3000; i++) {
      rig.now += 1;
      boolean of = i % 3 == 0;
      double waited = of && what.startsWith("late") ? 400 : 0;
      double advice =
          rig.policy.rejectForOverload(
              rig.now,
              new RoutingApi.RequestSummary(
                  Rig.IDEMPOTENT, of ? tenant : 0, of && retry, waited, 1000),
              0.3);
      if (advice == RoutingApi.ADMITTED) {
        rig.policy.onRequest(
            rig.now,
            new Request(
                i,
                Rig.IDEMPOTENT,
                of ? tenant : 0,
                i + 1,
                rig.now + 1000,
                Double.NaN,
                0,
                false,
                false),
            rig);
      } else {
        assertThat(advice).isBetween(0.0, 500.0);
        away[of ? 1 : 0] += i >= 2000 ? 1 : 0;
      }
    }
    assertThat(away[1]).isBetween(least, Math.max(most, 333));
    assertThat(away[0]).isLessThan(away[1] / 2);
    assertThat(
            rig.policy.rejectForOverload(
                rig.now,
                new RoutingApi.RequestSummary(Rig.IDEMPOTENT, 0, false, 990, 1000),
                Double.MIN_VALUE))
        .isNotEqualTo(RoutingApi.ADMITTED);
  }
}
