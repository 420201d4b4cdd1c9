package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that share one address, as behind a load balancer. */
@Timeout(60)
class SharedAddressTest {
  private static final String ADDRESS = "127.0.0.77";

  /** More rejections than the longest backoff of an address takes. */
  private static final int REJECTED_CLIENTS = 12;

  private static final int TIME_BUDGET_MS = 200;

  /** A request without an answer is lost this long after its time budget has ended. */
  private static final int LOST_AFTER_MS = 550;

  private final Stage stage = new Stage();

  /**
   * Guards against requests that are lost because other clients of their address were rejected: new
   * connections of the address were read 800 ms late.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "nonsense\r\n", "mg a v O1 Pc=nosuch,t=a,d=100\r\n"})
  void requestIsAnsweredInTimeBesideRejectedClients(String input) throws Exception {
    try (stage) {
      stage.start(stage.quietDiscovery(), Stage.cache("s-1", stage.fullCache()));
      List<Peer.Line> rejected = new ArrayList<>();
      for (int i = 0; i < REJECTED_CLIENTS; i++) {
        Peer.Line line = stage.clientFrom(ADDRESS);
        line.write(input);
        rejected.add(line);
      }
      for (Peer.Line line : rejected) {
        assertThat(line.read()).isIn(null, "ERROR", "CLIENT_ERROR unknown class");
      }
      Peer.Line client = stage.clientFrom(ADDRESS);
      long sentNanos = System.nanoTime();
      client.write(Stage.read("a", "2").replace("d=8000", "d=" + TIME_BUDGET_MS));
      assertThat(client.read()).isEqualTo("VA 2 O2");
      assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos))
          .isLessThan(TIME_BUDGET_MS + LOST_AFTER_MS);
    }
  }
}
