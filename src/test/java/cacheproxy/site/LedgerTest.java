package cacheproxy.site;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.site.Ledger.Effect;
import cacheproxy.site.Ledger.FinalAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks which sequences of events the ledger reports as a breach. Each event is written as a name
 * and its time in milliseconds; the names are those of {@link #apply}.
 */
class LedgerTest {
  private static Ledger ledger() {
    return new Ledger(new Ledger.GracePeriods(50, 500, 1000, 5000));
  }

  private static void apply(Ledger ledger, String step, Effect effect) {
    String[] of = step.trim().split("@");
    double at = Double.parseDouble(of[1]);
    switch (of[0]) {
      case "taken" -> ledger.requestAccepted("r", effect, "k", at, at + 400);
      case "another" -> ledger.requestAccepted("q", effect, "k", at, at + 400);
      case "ran-a" -> ledger.arrivedAndRan("r", "a", at, true);
      case "ran-b" -> ledger.arrivedAndRan("r", "b", at, true);
      case "sent-a" -> ledger.arrivedAtServer("r", "a", at, at);
      case "sent-a-read-late" -> ledger.arrivedAtServer("r", "a", at - 300, at);
      case "effect-a" -> ledger.tookEffect("r", "a", at);
      case "repeat-b" -> ledger.arrivedAndRan("r", "b", at, false);
      case "another-ran-b" -> ledger.arrivedAndRan("q", "b", at, true);
      case "served" -> ledger.answered("r", FinalAnswer.SERVED, at);
      case "refused" -> ledger.answered("r", FinalAnswer.REFUSED, at);
      case "failed" -> ledger.answered("r", FinalAnswer.FAILED, at);
      case "left" -> ledger.noAnswerOwed("r");
      case "cut" -> ledger.connectionClosedByProxy("r", at);
      case "a-leaves" -> ledger.serverLeaving("a", at);
      case "a-returns" -> ledger.serverReturned("a");
      case "settled" -> ledger.judgeExpiredRequests(at);
      default -> throw new IllegalArgumentException(step);
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "a served read,                    IDEMPOTENT,   taken@0 ran-a@5 served@9 settled@9999, 0",
    "a read copied to two nodes,       IDEMPOTENT,   taken@0 ran-a@5 ran-b@30 served@40 settled@9999, 0",
    "a read refused after it ran,      IDEMPOTENT,   taken@0 ran-a@5 refused@9 settled@9999, 0",
    "a failed write that runs later,   NOT_IDEMPOTENT, taken@0 sent-a@5 failed@100 effect-a@900 settled@9999, 0",
    "a refused write that runs later,  NOT_IDEMPOTENT, taken@0 sent-a@5 refused@100 effect-a@400 settled@9999, 2",
    "a read sent after its answer,     IDEMPOTENT,   taken@0 ran-a@5 served@9 sent-a@200 settled@9999, 1",
    "arrived in time and read late,    IDEMPOTENT,   taken@0 ran-a@5 served@90 sent-a-read-late@380 settled@9999, 0",
    "arrived late and read later,      IDEMPOTENT,   taken@0 ran-a@5 served@90 sent-a-read-late@450 settled@9999, 1",
    "never answered,                   IDEMPOTENT,   taken@0 ran-a@5 settled@9999, 1",
    "not yet answered,                 IDEMPOTENT,   taken@0 ran-a@5 settled@940, 0",
    "closed by its client,             IDEMPOTENT,   taken@0 left@9 settled@9999, 0",
    "answered late,                    IDEMPOTENT,   taken@0 ran-a@5 served@899 settled@9999, 0",
    "answered after the late limit,    IDEMPOTENT,   taken@0 ran-a@5 served@901 settled@9999, 1",
    "late owing to an injected fault,  IDEMPOTENT,   taken@0 ran-a@5 left@9 served@901 settled@9999, 0",
    "answered twice despite a fault,   IDEMPOTENT,   taken@0 ran-a@5 left@9 served@901 failed@902 settled@9999, 1",
    "answered twice,                   IDEMPOTENT,   taken@0 ran-a@5 served@9 refused@10 settled@9999, 1",
    "served and run by no server,      IDEMPOTENT,   taken@0 served@9 settled@9999, 1",
    "closed by the proxy,              IDEMPOTENT,   taken@0 cut@9 settled@9999, 1",
    "sent after its answer,            IDEMPOTENT,   taken@0 refused@9 ran-a@60 settled@9999, 1",
    "a write that took effect twice,   NOT_IDEMPOTENT, taken@0 ran-a@5 ran-b@9 served@12 settled@9999, 2",
    "a write refused after its effect, NOT_IDEMPOTENT, taken@0 ran-a@5 refused@9 settled@9999, 2",
    "a write failed after its effect,  NOT_IDEMPOTENT, taken@0 ran-a@5 failed@9 settled@9999, 0",
    "a repeat dropped by a server,     IDEMPOTENCY_KEY,  taken@0 ran-a@5 repeat-b@9 served@12 settled@9999, 0",
    "a key that took effect twice,     IDEMPOTENCY_KEY,  taken@0 ran-a@5 served@9 another@20 another-ran-b@30 left@31, 2",
    "a key reused after its window,    IDEMPOTENCY_KEY,  taken@0 ran-a@5 served@9 settled@6000 another@6000 another-ran-b@6001 left@6002, 0",
    "a request within the drain grace, IDEMPOTENT,   a-leaves@0 taken@900 ran-a@990 served@995 settled@9999, 0",
    "a request after the drain grace,  IDEMPOTENT,   a-leaves@0 taken@900 ran-a@1001 served@1005 settled@9999, 3",
    "a request to a returned server,   IDEMPOTENT,   a-leaves@0 a-returns@500 taken@900 ran-a@1001 served@1005 settled@9999, 0"
  })
  void reportsTheExpectedBreach(String description, Effect effect, String steps, int rule) {
    Ledger ledger = ledger();
    for (String step : steps.split(" ")) {
      apply(ledger, step, effect);
    }
    assertThat(ledger.breaches())
        .extracting(Breach::rule)
        .isEqualTo(rule == 0 ? java.util.List.of() : java.util.List.of(rule));
    assertThat(ledger.breaches())
        .allSatisfy(b -> assertThat(b.toString()).contains(" at ").doesNotContain("%"));
  }

  /**
   * Guards against growth of memory during long runs: judged requests and expired idempotency keys
   * are removed, and breaches beyond the limit are counted but not stored.
   */
  @Test
  void forgetsJudgedRequestsAndLimitsRecordedBreaches() {
    Ledger ledger = ledger();
    for (int i = 0; i < 50_000; i++) {
      ledger.requestAccepted("r" + i, Effect.IDEMPOTENCY_KEY, "k" + i, i, i + 400);
      ledger.arrivedAndRan("r" + i, "a", i, true);
      ledger.judgeExpiredRequests(i);
    }
    assertThat(ledger.openRequests())
        .isLessThan(1000); // each stays open for 400 ms up to its deadline and 550 ms of grace
    ledger.judgeExpiredRequests(1e6);
    assertThat(ledger.openRequests()).isZero();
    assertThat(ledger.judgedRequests()).isEqualTo(50_000);
    assertThat(ledger.breachCount()).isEqualTo(50_000);
    assertThat(ledger.breaches()).hasSize(Ledger.MAX_RECORDED_BREACHES);
  }
}
