package cacheproxy.simulator;

import static cacheproxy.simulator.BatchBuilder.LISTED_SERVER;
import static cacheproxy.simulator.BatchBuilder.STARTED_INSTANCE;
import static cacheproxy.simulator.WireBytesTest.SETTINGS;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the adapter replies to batches, and the error that each kind of malformed input gets. */
class SimulatorAdapterTest {
  private static final int REQUEST_ID = 0x5D3A91C4;
  private static final int PLACE = 10;
  private static final int FAULT = 100;
  private static final int REPLY_HEADER_BYTES = 12;
  private static final int ACTION_BYTES = 24;

  private static byte[] run(byte[] input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorAdapter(new ByteArrayInputStream(input), out).run();
    return out.toByteArray();
  }

  private static ByteBuffer replyTo(BatchBuilder batch) throws IOException {
    return ByteBuffer.wrap(run(batch.bytes())).order(ByteOrder.LITTLE_ENDIAN);
  }

  private static BatchBuilder started() {
    return new BatchBuilder().start(SETTINGS);
  }

  /** The example of the protocol's description. */
  @Test
  void answersAnEmptyBatchWithAnEmptyReply() throws IOException {
    HexFormat hex = HexFormat.of();
    byte[] reply = run(hex.parseHex("1400000000000000206ec0400000000001000000"));
    assertThat(hex.formatHex(reply)).isEqualTo("0c0000000000000001000000");
  }

  @Test
  void endsWithoutAReplyWhereTheInputIsEmpty() throws IOException {
    assertThat(run(new byte[0])).isEmpty();
  }

  @Test
  void placesARequestOnTheListedServer() throws IOException {
    BatchBuilder batch = started();
    batch.record(30, STARTED_INSTANCE).putInt(3, REQUEST_ID).putDouble(9, 900).putLong(33, 99);

    ByteBuffer reply = replyTo(batch);

    assertThat(reply.getInt(0)).isEqualTo(reply.capacity());
    assertThat(reply.getInt(8)).isEqualTo(BatchBuilder.BATCH);
    boolean placed = false;
    for (int i = 0; i < reply.getInt(4); i++) {
      int action = REPLY_HEADER_BYTES + ACTION_BYTES * i;
      if (reply.get(action) == PLACE) {
        placed = true;
        assertThat(reply.getShort(action + 1)).isEqualTo((short) STARTED_INSTANCE);
        assertThat(reply.getInt(action + 3)).isEqualTo(REQUEST_ID);
        assertThat(reply.getInt(action + 7)).isEqualTo(LISTED_SERVER);
      }
    }
    assertThat(placed).isTrue();
  }

  @Test
  void restartsAnInstanceWithinOneBatch() throws IOException {
    BatchBuilder batch = started();
    batch.record(100, STARTED_INSTANCE);
    batch.start(SETTINGS);
    assertThat(replyTo(batch).getInt(8)).isEqualTo(BatchBuilder.BATCH);
  }

  @Test
  void rejectsEventsOfAnInstanceThatHasStopped() {
    BatchBuilder batch = started();
    batch.record(100, STARTED_INSTANCE);
    batch.record(70, STARTED_INSTANCE);
    assertThatThrownBy(() -> run(batch.bytes()))
        .hasMessage("batch 7, record 3: unknown instance 3");
  }

  @Test
  void reportsAnExceptionOfThePolicyAsAFault() throws IOException {
    BatchBuilder batch = started();
    batch.record(30, STARTED_INSTANCE).putInt(3, 1).putDouble(9, 900).putShort(41, (short) 5);
    byte[] reply = run(batch.bytes());
    assertThat(reply[REPLY_HEADER_BYTES]).isEqualTo((byte) FAULT);
    assertThat(new String(reply, StandardCharsets.UTF_8))
        .contains("instance 3")
        .contains("class 5");
  }

  @Test
  void rejectsInputThatEndsInsideAFrame() {
    byte[] whole = started().bytes();
    assertThatThrownBy(() -> run(Arrays.copyOf(whole, whole.length - 1)))
        .isInstanceOf(WireException.class)
        .hasMessageContaining("inside a frame");
  }

  @Test
  void rejectsAFrameShorterThanItsHeader() {
    assertThatThrownBy(() -> run(new byte[] {5, 0, 0, 0, 0}))
        .isInstanceOf(WireException.class)
        .hasMessageContaining("frame of 5 bytes");
  }

  @Test
  void rejectsMoreRecordsThanTheFrameHolds() {
    byte[] frame = started().bytes();
    ByteBuffer.wrap(frame)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(BatchBuilder.RECORD_COUNT_OFFSET, 100000);
    assertThatThrownBy(() -> run(frame)).hasMessageContaining("100000 records exceed the frame");
  }

  @Test
  void rejectsAnUnknownEventCode() {
    BatchBuilder batch = started();
    batch.record(31, STARTED_INSTANCE);
    assertThatThrownBy(() -> run(batch.bytes()))
        .isInstanceOf(WireException.class)
        .hasMessage("batch 7, record 2: unknown event code 31");
  }

  @Test
  void rejectsAnEventOfAnUnknownInstance() {
    BatchBuilder batch = new BatchBuilder();
    batch.record(70, 4);
    assertThatThrownBy(() -> run(batch.bytes()))
        .hasMessage("batch 7, record 0: unknown instance 4");
  }

  @Test
  void rejectsAMessageOutsideTheTail() {
    BatchBuilder batch = started();
    batch.record(90, STARTED_INSTANCE).putInt(7, 1 << 20).putInt(11, 4);
    assertThatThrownBy(() -> run(batch.bytes())).hasMessageContaining("outside the tail");
  }

  @ParameterizedTest
  @CsvSource({
    "20, 11, 4, unknown list form 4",
    "50, 12, 99, unknown status 99",
    "80, 17, 5, unknown status 0",
  })
  void rejectsAValueThatItsFieldDoesNotHave(int code, int offset, byte value, String message) {
    BatchBuilder batch = started();
    batch.record(code, STARTED_INSTANCE).put(offset, value);
    assertThatThrownBy(() -> run(batch.bytes())).hasMessage("batch 7, record 2: " + message);
  }

  @Test
  void rejectsALoadReportOfMoreThanFourValues() {
    BatchBuilder batch = started();
    batch.record(80, STARTED_INSTANCE).putShort(7, (short) 100).put(17, (byte) 5);
    assertThatThrownBy(() -> run(batch.bytes()))
        .hasMessage("batch 7, record 2: load report of 5 values");
  }
}
