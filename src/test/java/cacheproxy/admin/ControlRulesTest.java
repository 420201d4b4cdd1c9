package cacheproxy.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The control's rules: the log of calls, who holds how much while two processes run. */
class ControlRulesTest {
  /**
   * Calls at random, cut off at any byte by a crash and gone on with: all but the one that was cut
   * hold.
   */
  @Test
  void aLogThatWasCutOffAnywhereLosesNoOtherCall() {
    for (long seed = 1; seed <= 200; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      ByteArrayOutputStream log = new ByteArrayOutputStream();
      Set<String> out = new LinkedHashSet<>();
      for (int i = 0; i < 30; i++) {
        String node = "s-" + random.nextInt(6);
        boolean down = random.nextBoolean();
        byte[] record = ManualEjectionLog.record(node, down);
        boolean crash = random.nextInt(5) == 0;
        int bytes =
            crash ? random.nextInt(record.length - 1) : record.length; // without its end at most
        log.write(record, 0, bytes);
        if (!crash && down) {
          out.add(node);
        } else if (!crash) {
          out.remove(node);
        }
      }
      assertThat(ManualEjectionLog.out(log.toByteArray())).as("seed " + seed).isEqualTo(out);
      assertThat(ManualEjectionLog.out(ManualEjectionLog.whole(out)))
          .as("seed " + seed)
          .isEqualTo(out);
    }
    byte[] spoilt = ManualEjectionLog.record("s-1", true);
    spoilt[spoilt.length - 2] ^= 1;
    assertThat(ManualEjectionLog.out(spoilt)).isEmpty();
    assertThat(
            Arrays.asList(
                ManualEjectionLog.isName("s-1"),
                ManualEjectionLog.isName(""),
                ManualEjectionLog.isName("a b"),
                ManualEjectionLog.isName("a\n")))
        .containsExactly(true, false, false, false);
  }

  @Test
  void writesMetricsToTheByte() {
    Metrics metrics = new Metrics(List.of("read", "a\"\n"));
    metrics.ended(0, Metrics.End.ANSWERED);
    metrics.ended(1, Metrics.End.DEFERRED);
    metrics.ended(1, Metrics.End.ERRORED);
    metrics.sent();
    assertThat(metrics.json(1, 2, 3, 4, 5))
        .isEqualTo(
            "{\"answered\":{\"read\":1,\"a\\\"\\u000a\":0},"
                + "\"deferred\":{\"read\":0,\"a\\\"\\u000a\":1},"
                + "\"errored\":{\"read\":0,\"a\\\"\\u000a\":1},"
                + "\"sends\":1,\"current\":1,\"cluster_size\":2,\"cluster_unhealthy\":3,"
                + "\"conf_loaded\":4,\"conf_invalid\":5}\n");
  }

  /** Sockets, places, own servers, the other's clients and servers: places left to the other. */
  @ParameterizedTest
  @CsvSource({
    "384, 192, 40, 0, 0, 0",
    "384, 192, 40, 1, 0, 0",
    "384, 192, 40, 60, 40, 60",
    "384, 192, 40, 90, 60, 110",
    "384, 192, 128, 192, 128, 144",
    "256, 107, 20, 50, 20, 53"
  })
  void togetherTheyHoldWhatOneMay(
      int sockets, int places, int servers, int clients, int itsServers, int left) {
    ListenerTakeover.Holds other = new ListenerTakeover.Holds(clients, itsServers, true);
    assertThat(ListenerTakeover.clientsLeft(sockets, places, servers, other)).isEqualTo(left);
  }

  /**
   * Told to end so long ago, beside nobody, one that starts or one that serves: whether it takes
   * connections.
   */
  @ParameterizedTest
  @CsvSource({
    "0, nobody, true",
    "499, nobody, true",
    "500, nobody, false",
    "499, serves, true",
    "500, serves, false",
    "1199, starts, true",
    "1200, starts, false"
  })
  void itListensUntilSomebodyElseDoes(double ms, String other, boolean listens) {
    ListenerTakeover.Holds holds =
        other.equals("nobody")
            ? ListenerTakeover.Holds.NOTHING
            : new ListenerTakeover.Holds(1, 0, other.equals("serves"));
    assertThat(ListenerTakeover.listens(ms, holds)).isEqualTo(listens);
    assertThat(ListenerTakeover.idleMs(holds) > 0).isEqualTo(other.equals("serves"));
  }
}
