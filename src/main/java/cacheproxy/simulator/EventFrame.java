package cacheproxy.simulator;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * The batch of events that was read last, little-endian: a header (frame length, clock, number of
 * records, batch number), records of one size, and a tail with what varies in length. The buffer is
 * reused for each batch. Offsets below are from the start of the frame.
 */
final class EventFrame {
  private static final int LENGTH_OFFSET = 0;
  private static final int CLOCK_OFFSET = 4;
  private static final int RECORD_COUNT_OFFSET = 12;
  private static final int BATCH_OFFSET = 16;
  private static final int HEADER_BYTES = 20;
  private static final int RECORD_BYTES = 48;
  private static final int INITIAL_CAPACITY_BYTES = 1 << 16;

  private ByteBuffer frame = buffer(INITIAL_CAPACITY_BYTES);
  private double nowMs;
  private int batch;
  private int recordCount;
  private int tailStart;

  private static ByteBuffer buffer(int capacityBytes) {
    return ByteBuffer.allocate(capacityBytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  /**
   * Reads the next batch in place of the last one.
   *
   * @return false if the input has ended
   * @throws WireException if the frame is cut off or its lengths contradict each other
   */
  boolean read(DataInputStream in) throws IOException {
    int firstByte = in.read();
    if (firstByte < 0) {
      return false;
    }
    try {
      readBytes(in, (byte) firstByte);
    } catch (EOFException e) {
      throw new WireException("after batch " + batch + ": input ends inside a frame", e);
    }
    nowMs = frame.getDouble(CLOCK_OFFSET);
    batch = frame.getInt(BATCH_OFFSET);
    long count = Integer.toUnsignedLong(frame.getInt(RECORD_COUNT_OFFSET));
    long recordsEnd = HEADER_BYTES + count * RECORD_BYTES;
    if (recordsEnd > frame.limit()) {
      throw new WireException("batch " + batch + ": " + count + " records exceed the frame");
    }
    recordCount = (int) count;
    tailStart = (int) recordsEnd;
    return true;
  }

  private void readBytes(DataInputStream in, byte firstByte) throws IOException {
    frame.clear();
    frame.put(LENGTH_OFFSET, firstByte);
    in.readFully(frame.array(), LENGTH_OFFSET + 1, Integer.BYTES - 1);
    int length = frame.getInt(LENGTH_OFFSET);
    if (length < HEADER_BYTES) {
      throw new WireException(
          "after batch " + batch + ": frame of " + length + " bytes, under its header");
    }
    if (length > frame.capacity()) {
      frame = buffer(Math.max(length, length * 3 / 2)); // the product may overflow
      frame.putInt(LENGTH_OFFSET, length);
    }
    in.readFully(frame.array(), CLOCK_OFFSET, length - CLOCK_OFFSET);
    frame.limit(length);
  }

  /** The time of all events of the batch, in milliseconds from an origin of the simulator's. */
  double nowMs() {
    return nowMs;
  }

  /** The batch's number, which its reply repeats; 0 before the first. */
  int batch() {
    return batch;
  }

  int recordCount() {
    return recordCount;
  }

  /** Where a record starts, by its index in the batch. */
  int recordStart(int index) {
    return HEADER_BYTES + index * RECORD_BYTES;
  }

  int unsignedByte(int offset) {
    return Byte.toUnsignedInt(frame.get(offset));
  }

  int unsignedShort(int offset) {
    return Short.toUnsignedInt(frame.getShort(offset));
  }

  int int32(int offset) {
    return frame.getInt(offset);
  }

  long int64(int offset) {
    return frame.getLong(offset);
  }

  float float32(int offset) {
    return frame.getFloat(offset);
  }

  double float64(int offset) {
    return frame.getDouble(offset);
  }

  /**
   * Where the part of the tail starts that a field names by offset and count.
   *
   * @param offset where the field is
   * @param unitBytes bytes of each of what is counted
   * @throws WireException if the part is not inside the tail
   */
  int tailPartStart(int offset, int unitBytes) {
    long partOffset = Integer.toUnsignedLong(frame.getInt(offset));
    long partBytes = Integer.toUnsignedLong(tailPartCount(offset)) * unitBytes;
    if (partBytes == 0) {
      return tailStart;
    }
    if (tailStart + partOffset + partBytes > frame.limit()) {
      throw new WireException(
          "offset " + partOffset + " with " + partBytes + " bytes lies outside the tail");
    }
    return (int) (tailStart + partOffset);
  }

  /** The count in a field that names a part of the tail; only valid if the part is inside it. */
  int tailPartCount(int offset) {
    return frame.getInt(offset + Integer.BYTES);
  }

  /**
   * A copy of the bytes that a field names by offset and length.
   *
   * @throws WireException if they are not inside the tail
   */
  byte[] tailBytes(int offset) {
    int start = tailPartStart(offset, 1);
    byte[] bytes = new byte[tailPartCount(offset)];
    frame.get(start, bytes);
    return bytes;
  }
}
