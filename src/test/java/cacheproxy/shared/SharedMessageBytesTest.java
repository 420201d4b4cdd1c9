package cacheproxy.shared;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.shared.VerdictEvidence.Kind;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The literal bytes of each message type, so that proxies of this and the last version understand
 * each other. The hexadecimal texts were printed by the version before the messages became records
 * of their own; they change only together with the version byte.
 */
class SharedMessageBytesTest {
  private static final String PUSH_NOTIFICATION = "c1730100beef0000000012345678ffff";
  private static final String EMPTY_PULL_REQUEST = "c173010100017a6b5c4dfffffffeffff000000";
  private static final String PULL_REQUEST =
      "c1730101fffefffffffd010203040011000200"
          + "00000008000800000000006300000000"
          + "ffffffff00000003ffffff9c00000062";
  private static final String EMPTY_PULL_RESPONSE = "c173010200090000004d000000050000000000";
  private static final String PULL_RESPONSE =
      "c173010200090000004d000000050003030102"
          + "fffffffb3f012cffff000c04b0"
          + "0000000645000101020001ffff"
          + "00000009800002000100000001"
          + "0000000880080000fffffffd0000002c"
          + "020007fde800197fffffffffffffff"
          + "000001000100000000000000000000";

  private static void assertBytes(Datagram message, String hex) {
    assertThat(HexFormat.of().formatHex(message.bytes())).isEqualTo(hex);
  }

  private static Datagram parsed(String hex) {
    return Datagram.parse(HexFormat.of().parseHex(hex));
  }

  @Test
  void pushNotificationKeepsItsBytes() {
    Datagram message =
        new Datagram(
            Datagram.Type.NUDGE, 0xBEEF, 0, 0x12345678, 0xFFFF, List.of(), List.of(), List.of());
    assertBytes(message, PUSH_NOTIFICATION);
    assertThat(parsed(PUSH_NOTIFICATION)).isEqualTo(message);
  }

  @Test
  void pullRequestKeepsItsBytes() {
    Datagram empty =
        new Datagram(Datagram.Type.ASK, 1, 0x7A6B5C4D, -2, 0xFFFF, List.of(), List.of(), List.of());
    Datagram message =
        new Datagram(
            Datagram.Type.ASK,
            0xFFFE,
            -3,
            0x01020304,
            17,
            List.of(),
            List.of(
                new Datagram.Right(8, new SlowStartQuota.Message(false, 99, 1 << 19, 0)),
                new Datagram.Right(-1, new SlowStartQuota.Message(false, -100, 3, 98))),
            List.of());
    assertBytes(empty, EMPTY_PULL_REQUEST);
    assertBytes(message, PULL_REQUEST);
    assertThat(parsed(EMPTY_PULL_REQUEST)).isEqualTo(empty);
    assertThat(parsed(PULL_REQUEST)).isEqualTo(message);
  }

  @Test
  void pullResponseKeepsItsBytes() {
    Datagram empty = new Datagram(Datagram.Type.TELL, 9, 77, 5, 0, List.of(), List.of(), List.of());
    Datagram message = response(-0.5, 1e9, 3);
    assertBytes(empty, EMPTY_PULL_RESPONSE);
    assertBytes(message, PULL_RESPONSE);
    assertThat(parsed(EMPTY_PULL_RESPONSE)).isEqualTo(empty);
    assertThat(parsed(PULL_RESPONSE)).isEqualTo(response(-10, 655_350, 0));
  }

  /** Ages travel rounded up to hundredths of a second and saturate at the ends of their range. */
  private static Datagram response(double recoveredAt, double recoveredUntil, double fullAt) {
    return new Datagram(
        Datagram.Type.TELL,
        9,
        77,
        5,
        3,
        List.of(
            new VerdictEvidence(-5, Kind.OUT, 300, 63, 65_535, -120, 12_000),
            new VerdictEvidence(6, Kind.BACK, 1, 5, 258, recoveredAt, recoveredUntil),
            new VerdictEvidence(9, Kind.FULL, 2, 0, 1, fullAt, 10)),
        List.of(new Datagram.Right(8, new SlowStartQuota.Message(true, -3, 1 << 19, 44))),
        List.of(
            new Datagram.Total(2, new TierCounters.Total(7, 65_000, Long.MAX_VALUE), 250),
            new Datagram.Total(0, new TierCounters.Total(1, 1, 0), 0)));
  }
}
