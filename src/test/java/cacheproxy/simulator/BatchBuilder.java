package cacheproxy.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * Builds one batch of events for tests, number 7 at 100 ms. The fields of a record are written by
 * the caller, at their offsets.
 */
final class BatchBuilder {
  /** The instance that {@link #start} starts. */
  static final int STARTED_INSTANCE = 3;

  /** The one server that {@link #start} lists. */
  static final int LISTED_SERVER = 0xF211902C;

  static final int BATCH = 7;

  /** Where the header holds the number of records. */
  static final int RECORD_COUNT_OFFSET = 12;

  private static final double CLOCK_MS = 100;
  private static final int CLOCK_OFFSET = 4;
  private static final int BATCH_OFFSET = 16;
  private static final int HEADER_BYTES = 20;
  private static final int RECORD_BYTES = 48;
  private static final int ENTRY_BYTES = 22;
  private static final byte CACHED_LIST = 2;
  private static final byte READY = 2;
  private static final int CAPACITY_BYTES = 4096;

  private final ByteBuffer headerAndRecords =
      ByteBuffer.allocate(CAPACITY_BYTES).order(ByteOrder.LITTLE_ENDIAN).position(HEADER_BYTES);
  private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
  private int recordCount;

  /** Adds a record of zeros with its code and instance, and returns it. */
  ByteBuffer record(int code, int instance) {
    int start = HEADER_BYTES + RECORD_BYTES * recordCount++;
    headerAndRecords.position(start + RECORD_BYTES);
    headerAndRecords.put(start, (byte) code).putShort(start + 1, (short) instance);
    return headerAndRecords.slice(start, RECORD_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** Adds bytes to the tail, and their offset and a count to a record. */
  void putInTail(ByteBuffer record, int offset, byte[] data, int count) {
    record.putInt(offset, tail.size()).putInt(offset + 4, count);
    tail.writeBytes(data);
  }

  /** Starts the instance with these settings and a list of the one server. */
  BatchBuilder start(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    putInTail(record(10, STARTED_INSTANCE), 11, text, text.length);
    byte[] entry =
        ByteBuffer.allocate(ENTRY_BYTES)
            .order(ByteOrder.LITTLE_ENDIAN)
            .putInt(0, LISTED_SERVER)
            .put(9, READY)
            .putFloat(10, 1)
            .array();
    putInTail(record(20, STARTED_INSTANCE).put(11, CACHED_LIST), 12, entry, 1);
    return this;
  }

  byte[] bytes() {
    headerAndRecords
        .putInt(0, headerAndRecords.position() + tail.size())
        .putDouble(CLOCK_OFFSET, CLOCK_MS)
        .putInt(RECORD_COUNT_OFFSET, recordCount)
        .putInt(BATCH_OFFSET, BATCH);
    ByteArrayOutputStream frame = new ByteArrayOutputStream();
    frame.write(headerAndRecords.array(), 0, headerAndRecords.position());
    frame.writeBytes(tail.toByteArray());
    return frame.toByteArray();
  }
}
