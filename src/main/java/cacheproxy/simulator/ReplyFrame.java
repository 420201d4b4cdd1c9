package cacheproxy.simulator;

import cacheproxy.routing.RoutingApi.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The reply to one batch, little-endian: a header (frame length, number of records, batch number),
 * one record for each action in the order of the calls, and a tail with messages and texts. The
 * buffers grow as needed and are reused for each batch.
 */
final class ReplyFrame implements Actions {
  private static final int LENGTH_OFFSET = 0;
  private static final int RECORD_COUNT_OFFSET = 4;
  private static final int BATCH_OFFSET = 8;
  private static final int HEADER_BYTES = 12;
  private static final int RECORD_BYTES = 24;
  private static final int INITIAL_RECORDS_BYTES = 1 << 16;
  private static final int INITIAL_TAIL_BYTES = 1 << 12;

  /** Header and records; while no record is open, it stands behind the last one. */
  private ByteBuffer records = buffer(INITIAL_RECORDS_BYTES);

  private ByteBuffer tail = buffer(INITIAL_TAIL_BYTES);
  private int recordCount;
  private int instance;

  private static ByteBuffer buffer(int capacityBytes) {
    return ByteBuffer.allocate(capacityBytes).order(ByteOrder.LITTLE_ENDIAN);
  }

  /** The buffer itself, or a larger one with its content if fewer bytes than these remain. */
  private static ByteBuffer withRoom(ByteBuffer buffer, int neededBytes) {
    if (buffer.remaining() >= neededBytes) {
      return buffer;
    }
    buffer.flip();
    int capacityBytes = Math.max(2 * buffer.capacity(), buffer.limit() + neededBytes);
    return buffer(capacityBytes).put(buffer);
  }

  /** Drops all actions, for the next batch. */
  void clear() {
    records.clear();
    tail.clear();
    records.position(HEADER_BYTES);
    recordCount = 0;
  }

  /** Sets the number of the instance that the actions from now on are of. */
  void setInstance(int instance) {
    this.instance = instance;
  }

  /** Writes the reply to the batch of this number, and flushes. */
  void write(OutputStream out, int batch) throws IOException {
    records.putInt(LENGTH_OFFSET, records.position() + tail.position());
    records.putInt(RECORD_COUNT_OFFSET, recordCount);
    records.putInt(BATCH_OFFSET, batch);
    out.write(records.array(), 0, records.position());
    out.write(tail.array(), 0, tail.position());
    out.flush();
  }

  /** Opens a record filled with zeros; the buffer stands behind code and instance. */
  private ByteBuffer beginRecord(ActionCode code) {
    records = withRoom(records, RECORD_BYTES);
    int start = records.position();
    Arrays.fill(records.array(), start, start + RECORD_BYTES, (byte) 0);
    records.put(code.code()).putShort((short) instance);
    recordCount++;
    return records;
  }

  private void endRecord() {
    records.position(HEADER_BYTES + RECORD_BYTES * recordCount);
  }

  /** Ends a record with a field that names these bytes, which go to the tail. */
  private void endRecordWith(byte[] data) {
    records.putInt(tail.position()).putInt(data.length);
    tail = withRoom(tail, data.length).put(data);
    endRecord();
  }

  @Override
  public void sendAttempt(int request, int server, double timeoutMs) {
    beginRecord(ActionCode.PLACE).putInt(request).putInt(server).putDouble(timeoutMs);
    endRecord();
  }

  @Override
  public void reject(int request, double retryAfterMs) {
    beginRecord(ActionCode.DENY).putInt(request).putDouble(retryAfterMs);
    endRecord();
  }

  @Override
  public void fail(int request) {
    beginRecord(ActionCode.FAIL).putInt(request);
    endRecord();
  }

  @Override
  public void cancelAttempt(int request, int attempt) {
    beginRecord(ActionCode.CANCEL).putInt(request).put((byte) attempt);
    endRecord();
  }

  @Override
  public void setTimer(double afterMs, int token) {
    beginRecord(ActionCode.SET_TIMER).putDouble(afterMs).putInt(token);
    endRecord();
  }

  @Override
  public void startHealthCheck(int server) {
    beginRecord(ActionCode.PROBE).putInt(server);
    endRecord();
  }

  @Override
  public void closeIdleConnections(int server) {
    beginRecord(ActionCode.CLOSE_IDLE).putInt(server);
    endRecord();
  }

  @Override
  public void sendToPeer(int peer, byte[] message) {
    beginRecord(ActionCode.TELL).putInt(peer);
    endRecordWith(message);
  }

  @Override
  public void log(String line) {
    beginRecord(ActionCode.LOG);
    endRecordWith(line.getBytes(StandardCharsets.UTF_8));
  }

  /** Reports that the instance has failed, which ends the simulated day. */
  void fault(String cause) {
    beginRecord(ActionCode.FAULT);
    endRecordWith(cause.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void watchEndpointList(boolean on) {
    beginRecord(ActionCode.WATCH).put((byte) (on ? 1 : 0));
    endRecord();
  }

  @Override
  public void fetchEndpointList() {
    beginRecord(ActionCode.FETCH_LIST);
    endRecord();
  }
}
