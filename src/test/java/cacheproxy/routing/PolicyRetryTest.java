package cacheproxy.routing;

import static cacheproxy.routing.PolicyTestRig.topRank;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.IdempotencyScope;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Request;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Rules for retries, and coalescing of fetches for one key. */
class PolicyRetryTest {
  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
  void failsANonIdempotentRequestThatMayHaveRun(Outcome outcome) {
    PolicyTestRig rig = PolicyTestRig.cacheAside().withNodes(5);
    rig.write(1, PolicyTestRig.NOT_IDEMPOTENT);
    rig.endAttempt(rig.lastAttempt(), outcome);
    rig.advanceTime(2000);
    assertThat(rig.sent).hasSize(1);
    assertThat(rig.failed).containsExactly(1);
    assertThat(rig.rejected).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      value = Outcome.class,
      names = {"FULL", "CONNECT_FAILED"})
  void retriesANonIdempotentRequestThatHasNotRun(Outcome outcome) {
    PolicyTestRig rig = PolicyTestRig.cacheAside().withNodes(5);
    rig.write(1, PolicyTestRig.NOT_IDEMPOTENT);
    rig.endAttempt(rig.lastAttempt(), outcome);
    rig.advanceTime(500);
    assertThat(rig.sent).hasSize(2);
  }

  /**
   * A retry is allowed only if its last byte arrives within the idempotency window, even if the
   * connection takes the full connect timeout of 100 ms to establish.
   */
  @Test
  void retriesUnderAnIdempotencyKeyOnlyInsideItsWindow() {
    PolicyTestRig inside =
        new PolicyTestRig(PolicyTestRig.settings(false, false, false, IdempotencyScope.ALL))
            .withNodes(12);
    inside.write(1, PolicyTestRig.IDEMPOTENCY_KEY);
    inside.now += 299;
    inside.endAttempt(inside.lastAttempt(), Outcome.RESET);
    assertThat(inside.sent).hasSize(2);
    PolicyTestRig late =
        new PolicyTestRig(PolicyTestRig.settings(false, false, false, IdempotencyScope.ALL))
            .withNodes(12);
    late.write(1, PolicyTestRig.IDEMPOTENCY_KEY);
    late.now += 300;
    late.endAttempt(late.lastAttempt(), Outcome.RESET);
    assertThat(late.sent).hasSize(1);
    assertThat(late.finalAnswers()).isEqualTo(1);
  }

  /**
   * The second of two requests for one key waits for the first one's fetch. When the fetch fails
   * after it may have been executed, each request is retried, rejected or failed by its own service
   * class, tenant and deadline.
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
  void coalescedRequestsKeepTheirOwnClassTenantAndDeadline(
      int leaderClass, int followerClass, int tenant, double leaderDeadlineMs) {
    PolicyTestRig rig = new PolicyTestRig(PolicyTestRig.tenants(1000, 1000)).withNodes(12);
    for (int id = 1; id <= 2; id++) {
      rig.policy.onRequest(
          rig.now,
          new Request(
              id,
              id == 1 ? leaderClass : followerClass,
              id == 1 ? 0 : tenant,
              77,
              rig.now + (id == 1 ? leaderDeadlineMs : 1000),
              Double.NaN,
              0,
              false,
              false),
          rig);
      rig.endAttempt(rig.lastAttempt(), Outcome.MISS);
    }
    List<PolicyTestRig.SentAttempt> fetches =
        rig.sent.stream().filter(p -> p.server() == PolicyTestRig.ORIGIN).toList();
    assertThat(fetches).as("one fetch for both").hasSize(1);
    PolicyTestRig.SentAttempt fetch = fetches.get(0);
    assertThat(fetch.request()).isEqualTo(1);
    int before = rig.sent.size();
    if (leaderDeadlineMs < 1000) {
      rig.advanceTime(leaderDeadlineMs); // only the first request's deadline passes
      rig.endAttempt(fetch, Outcome.CANCELLED);
      assertThat(rig.rejected.contains(1))
          .as("rejected if idempotent, otherwise failed because it may have been executed")
          .isEqualTo(leaderClass == PolicyTestRig.IDEMPOTENT);
      assertThat(rig.failed.contains(1)).isEqualTo(leaderClass != PolicyTestRig.IDEMPOTENT);
    } else {
      rig.endAttempt(fetch, Outcome.RESET);
      assertThat(rig.failed.contains(1))
          .as("failed unless idempotent, because it may have been executed")
          .isEqualTo(leaderClass != PolicyTestRig.IDEMPOTENT);
    }
    assertThat(rig.rejected.contains(2) || rig.failed.contains(2))
        .as("the second request has had no attempt executed and is still in flight")
        .isFalse();
    List<PolicyTestRig.SentAttempt> second = rig.sent.subList(before, rig.sent.size());
    boolean leaderMayRetry = leaderClass == PolicyTestRig.IDEMPOTENT && leaderDeadlineMs == 1000;
    assertThat(second).as("exactly one of the two requests fetches again").hasSize(1);
    PolicyTestRig.SentAttempt again = second.get(0);
    assertThat(again.server()).isEqualTo(PolicyTestRig.ORIGIN);
    // The second request's attempt may have been executed, so its own class decides what follows.
    if (again.request() == 2) {
      rig.endAttempt(again, Outcome.RESET);
      assertThat(rig.failed.contains(2)).isEqualTo(followerClass != PolicyTestRig.IDEMPOTENT);
      assertThat(rig.rejected.contains(2)).isFalse();
    } else {
      assertThat(leaderMayRetry).isTrue();
    }
  }

  @ParameterizedTest
  @EnumSource(
      value = IdempotencyScope.class,
      names = {"ZONE", "CELL"})
  void retriesWithinTheIdempotencyScopeAndNeverRejects(IdempotencyScope group) {
    for (int key = 1; key < 60; key++) {
      PolicyTestRig rig =
          new PolicyTestRig(PolicyTestRig.settings(false, false, false, group)).withNodes(12);
      rig.policy.onRequest(
          rig.now,
          new Request(
              1, PolicyTestRig.IDEMPOTENCY_KEY, 0, key, rig.now + 1000, Double.NaN, 0, true, false),
          rig);
      int first = rig.lastAttempt().server();
      rig.endAttempt(rig.lastAttempt(), Outcome.RESET);
      if (rig.sent.size() > 1) {
        int then = rig.lastAttempt().server();
        assertThat(group == IdempotencyScope.ZONE ? then % 2 : then / 4)
            .isEqualTo(group == IdempotencyScope.ZONE ? first % 2 : first / 4);
      } else {
        assertThat(rig.failed).containsExactly(1);
      }
      assertThat(rig.rejected).isEmpty();
    }
  }

  /**
   * Guards against a second run of a keyed request at a process that has taken the place of the one
   * that may have run it, in another cell or without its memory of keys.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRetryTakesNoNewProcessForTheOneBefore(boolean inAnotherCell) {
    for (long key = 1; key <= 200; key++) {
      PolicyTestRig rig =
          new PolicyTestRig(PolicyTestRig.settings(false, false, false, IdempotencyScope.CELL))
              .withNodes(12);
      rig.policy.onRequest(
          rig.now,
          new Request(
              1, PolicyTestRig.IDEMPOTENCY_KEY, 0, key, rig.now + 1000, Double.NaN, 0, true, false),
          rig);
      int first = rig.lastAttempt().server();
      rig.now += 50;
      Member before = PolicyTestRig.member(first, EndpointState.READY, rig.now);
      int cell = inAnotherCell ? (before.cell() + 1) % 4 : before.cell();
      rig.changeList(
          new Member(first, before.zone(), before.kind(), cell, EndpointState.READY, 1, rig.now));
      rig.now += 50;
      rig.endAttempt(rig.lastAttempt(), Outcome.RESET);
      for (PolicyTestRig.SentAttempt retry : rig.sent.subList(1, rig.sent.size())) {
        assertThat(retry.server()).isNotEqualTo(first);
        assertThat(retry.server() / 4).isEqualTo(first / 4);
      }
    }
  }

  @Test
  void attemptsStayWithinTheLimitAndOneAtATime() {
    PolicyTestRig rig = PolicyTestRig.cacheAside().withNodes(12);
    rig.read(1, 7);
    for (int i = 0; i < 6 && rig.finalAnswers() == 0; i++) {
      rig.endAttempt(rig.lastAttempt(), Outcome.CONNECT_FAILED);
    }
    assertThat(rig.sent).hasSizeLessThanOrEqualTo(3);
    assertThat(rig.finalAnswers()).isEqualTo(1);
  }

  /**
   * Of several requests that miss one key, only one fetches it from the origin; the others then
   * read it from the cache node that missed it.
   */
  @Test
  void coalescesFetchesOfOneKey() {
    PolicyTestRig rig = PolicyTestRig.cacheAside().withNodes(5);
    for (int id = 1; id <= 4; id++) {
      rig.read(id, 7);
    }
    for (PolicyTestRig.SentAttempt p : List.copyOf(rig.sent)) {
      rig.endAttempt(p, Outcome.MISS);
    }
    assertThat(rig.sent.stream().filter(p -> p.server() == PolicyTestRig.ORIGIN)).hasSize(1);
    rig.endAttempt(rig.lastAttempt(), Outcome.OK);
    assertThat(rig.sent).hasSize(8);
    assertThat(rig.lastAttempt().server()).isEqualTo(topRank(7, 5));
  }

  /**
   * Guards against a fetch that stays registered after its origin was replaced, which made later
   * requests for its key wait forever.
   */
  @Test
  void fetchFromARemovedOriginDoesNotBlockItsKey() {
    PolicyTestRig rig = PolicyTestRig.cacheAside().withNodes(8);
    rig.read(1, 5);
    rig.endAttempt(rig.lastAttempt(), Outcome.MISS);
    PolicyTestRig.SentAttempt fetch = rig.lastAttempt();
    assertThat(fetch.server()).isEqualTo(PolicyTestRig.ORIGIN);
    rig.changeList(
        PolicyTestRig.member(PolicyTestRig.ORIGIN, EndpointState.GONE, 0),
        new RoutingApi.Member(77, 1, 1, 0, EndpointState.READY, 1, 0));
    rig.endAttempt(fetch, Outcome.RESET);
    assertThat(rig.lastAttempt().server()).isEqualTo(77);
    rig.endAttempt(rig.lastAttempt(), Outcome.OK);
    rig.read(2, 5);
    rig.endAttempt(rig.lastAttempt(), Outcome.MISS);
    assertThat(rig.lastAttempt().server()).isEqualTo(77);
    assertThat(rig.lastAttempt().request()).isEqualTo(2);
  }
}
