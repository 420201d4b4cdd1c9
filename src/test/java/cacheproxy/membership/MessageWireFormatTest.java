package cacheproxy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.membership.Message.Entry;
import cacheproxy.membership.Message.Kind;
import cacheproxy.membership.Message.News;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The bytes of each message type, as literals: proxies of this and of the last version exchange
 * them, so they must not change.
 */
class MessageWireFormatTest {
  /** Both ways, with every field set to a value that shows its place and width. */
  @ParameterizedTest
  @CsvSource({
    "PING, c16d0100beef010203045fff610200000a0b0c0dffff03e8"
        + "020003b000000902bc8001ffff00720300002005c04d",
    "ACK,  c16d0101beef010203045fff610200000a0b0c0dffff03e8"
        + "020003b000000902bc8001ffff00720300002005c04d",
    "ASK,  c16d0102beef010203045fff610200000a0b0c0d020103e8"
        + "020003b000000902bc8001ffff00720300002005c04d",
    "TOLD, c16d0103beef010203045fff610200000a0b0c0d020103e8"
        + "020003b000000902bc8001ffff00720300002005c04d",
    "WORD, c16d0104beef010203045fff610200000a0b0c0dffff03e8"
        + "020003b000000902bc8001ffff00720300002005c04d",
  })
  void fullMessageHasTheseBytes(Kind kind, String hex) {
    boolean aboutAnother = kind == Kind.ASK || kind == Kind.TOLD;
    Message message =
        new Message(
            kind,
            0xBEEF,
            0x01020304,
            new Entry(State.ALIVE, 8191),
            new Entry(State.SUSPECT, 258),
            false,
            0x0A0B0C0D,
            aboutAnother ? 513 : -1,
            1000,
            List.of(
                new News(3, new Entry(State.DEAD, 4096), 9),
                new News(700, new Entry(State.LEAVING, 1), -1)),
            114,
            List.of(
                new Entry(State.UNKNOWN, 0),
                new Entry(State.STARTING, 5),
                new Entry(State.GONE, 77)));
    assertThat(HexFormat.of().formatHex(message.bytes())).isEqualTo(hex);
    assertThat(Message.parse(HexFormat.of().parseHex(hex))).isEqualTo(message);
  }

  /** Both ways, with no updates and no view, and the lowest and highest numbers in the header. */
  @ParameterizedTest
  @CsvSource({
    "PING, c16d01000001fffffffe200000000001ffffffffffff000200000000",
    "ACK,  c16d01010001fffffffe200000000001ffffffffffff000200000000",
    "ASK,  c16d01020001fffffffe200000000001ffffffff0000000200000000",
    "TOLD, c16d01030001fffffffe200000000001ffffffff0000000200000000",
    "WORD, c16d01040001fffffffe200000000001ffffffffffff000200000000",
  })
  void messageWithoutUpdatesAndViewHasTheseBytes(Kind kind, String hex) {
    boolean aboutAnother = kind == Kind.ASK || kind == Kind.TOLD;
    Message message =
        new Message(
            kind,
            1,
            -2,
            new Entry(State.STARTING, 0),
            Entry.NOTHING,
            true,
            -1,
            aboutAnother ? 0 : -1,
            2,
            List.of(),
            0,
            List.of());
    assertThat(HexFormat.of().formatHex(message.bytes())).isEqualTo(hex);
    assertThat(Message.parse(HexFormat.of().parseHex(hex))).isEqualTo(message);
  }
}
