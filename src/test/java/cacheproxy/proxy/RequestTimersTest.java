package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What is left of requests that have been answered. */
@Timeout(60)
class RequestTimersTest {
  private static final int REQUESTS = 2000;

  /** Timers of the proxy itself, such as those of discovery. */
  private static final int OWN_TIMERS = 20;

  /**
   * Guards against a heap that fills up with the state of finished requests, whose timers kept it
   * until their clients' deadlines.
   */
  @Test
  void finishedRequestsLeaveNoTimersBehind() throws Exception {
    try (Stage stage = new Stage()) {
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      Peer.Line client = stage.client();
      for (int i = 0; i < REQUESTS; i++) {
        Stage.serves(client, "id" + i);
      }
      int timers =
          stage
              .proxy
              .loop()
              .submit(() -> stage.proxy.dispatcher().pendingTimers())
              .syncUninterruptibly()
              .getNow();
      assertThat(timers).isLessThan(OWN_TIMERS);
    }
  }
}
