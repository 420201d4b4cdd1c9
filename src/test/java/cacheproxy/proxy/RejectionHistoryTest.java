package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RejectionHistoryTest {
  private static final double DELAY_MS = RejectionHistory.MAX_DUPLICATE_DELAY_MS;

  private final RejectionHistory history = new RejectionHistory();

  @Test
  void aSingleRejectionIsCertain() {
    assertThat(history.mayBeDuplicated(0)).isFalse();
    history.rejected(0, 0);
    assertThat(history.arePositionsUncertain()).isFalse();
    assertThat(history.remainingMs(1)).isEqualTo(DELAY_MS - 1);
    assertThat(history.mayBeDuplicated(DELAY_MS)).isFalse();
    history.rejected(DELAY_MS, DELAY_MS);
    assertThat(history.arePositionsUncertain()).isFalse();
  }

  /**
   * All positions behind a duplicate are shifted until a response with an id shows the right one.
   */
  @Test
  void positionsAreUncertainFromAPossibleDuplicateUntilAnId() {
    history.rejected(0, 0);
    history.rejected(DELAY_MS - 1, DELAY_MS - 1);
    history.rejected(10 * DELAY_MS, 10 * DELAY_MS);
    assertThat(history.arePositionsUncertain()).isTrue();
    history.identified();
    assertThat(history.arePositionsUncertain()).isFalse();
  }

  /** Guards against a duplicate that is read late because the event loop was held up. */
  @Test
  void theTimeOfArrivalCounts() {
    history.rejected(0, 0);
    history.rejected(DELAY_MS - 1, 150);
    assertThat(history.arePositionsUncertain()).isTrue();
    assertThat(history.mayBeDuplicated(150 + DELAY_MS - 1)).isTrue();
  }
}
