package cacheproxy.simulator;

import cacheproxy.routing.RoutingApi.AttemptEnd;
import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.ListKind;
import cacheproxy.routing.RoutingApi.Member;
import cacheproxy.routing.RoutingApi.Outcome;
import cacheproxy.routing.RoutingApi.Request;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A view of one record of an {@link EventFrame}, moved from record to record. Which methods make
 * sense depends on the record's code; they read whatever stands at their place.
 *
 * <p>Each {@code *_OFFSET} is from the start of the record, each {@code ENTRY_*_OFFSET} from the
 * start of an entry of the endpoint list.
 */
final class EventRecord {
  private static final int CODE_OFFSET = 0;
  private static final int INSTANCE_OFFSET = 1;

  private static final int START_SEED_OFFSET = 3;
  private static final int START_SETTINGS_OFFSET = 11;

  private static final int LIST_KIND_OFFSET = 11;
  private static final int LIST_ENTRIES_OFFSET = 12;

  private static final int REQUEST_ID_OFFSET = 3;
  private static final int REQUEST_FLAGS_OFFSET = 7;
  private static final int REQUEST_DUE_OFFSET = 9;
  private static final int REQUEST_COST_OFFSET = 17;
  private static final int REQUEST_TENANT_OFFSET = 25;
  private static final int REQUEST_BYTES_OFFSET = 29;
  private static final int REQUEST_KEY_OFFSET = 33;
  private static final int REQUEST_CLASS_OFFSET = 41;
  private static final int FLAG_HAS_COST = 1;
  private static final int FLAG_REPEAT = 2;
  private static final int FLAG_WRITE = 4;

  private static final int ATTEMPT_NUMBER_OFFSET = 7;
  private static final int ATTEMPT_SERVER_OFFSET = 8;
  private static final int ATTEMPT_STATUS_OFFSET = 12;
  private static final int ATTEMPT_ELAPSED_OFFSET = 14;
  private static final int ATTEMPT_OVER_OFFSET = 22;
  private static final int ATTEMPT_NOTE_OFFSET = 23;
  private static final int ATTEMPT_REPORT_OFFSET = 27;

  private static final int TIMER_TOKEN_OFFSET = 3;

  private static final int PROBE_SERVER_OFFSET = 3;
  private static final int PROBE_STATUS_OFFSET = 7;
  private static final int PROBE_ELAPSED_OFFSET = 9;
  private static final int PROBE_REPORT_OFFSET = 17;

  private static final int PEER_OFFSET = 3;
  private static final int PEER_MESSAGE_OFFSET = 7;

  private static final int ENTRY_SERVER_OFFSET = 0;
  private static final int ENTRY_ZONE_OFFSET = 4;
  private static final int ENTRY_KIND_OFFSET = 6;
  private static final int ENTRY_CELL_OFFSET = 7;
  private static final int ENTRY_STATE_OFFSET = 9;
  private static final int ENTRY_WEIGHT_OFFSET = 10;
  private static final int ENTRY_BORN_OFFSET = 14;
  private static final int ENTRY_BYTES = 22;

  private static final int MAX_REPORT_VALUES = 4;

  /** By their number on the wire. */
  private static final ListKind[] LIST_KINDS = {
    ListKind.FULL, ListKind.CHANGES, ListKind.CACHED, ListKind.FAILED
  };

  /** By their number on the wire. */
  private static final EndpointState[] STATES = {
    EndpointState.GONE, EndpointState.DRAINING, EndpointState.READY
  };

  private final EventFrame frame;
  private int start;

  EventRecord(EventFrame frame) {
    this.frame = frame;
  }

  /** Moves to another record of the frame. */
  void moveTo(int index) {
    start = frame.recordStart(index);
  }

  boolean is(EventCode code) {
    return frame.unsignedByte(start + CODE_OFFSET) == code.code();
  }

  /**
   * The kind of event.
   *
   * @throws WireException if the code is unknown
   */
  EventCode code() {
    return EventCode.of(frame.unsignedByte(start + CODE_OFFSET));
  }

  /** The number of the instance that the event is for, below 2^16. */
  int instance() {
    return frame.unsignedShort(start + INSTANCE_OFFSET);
  }

  long seed() {
    return frame.int64(start + START_SEED_OFFSET);
  }

  /** The settings of an instance that starts, a path=value on each line. */
  String settingsText() {
    return new String(frame.tailBytes(start + START_SETTINGS_OFFSET), StandardCharsets.UTF_8);
  }

  ListKind listKind() {
    int kind = frame.unsignedByte(start + LIST_KIND_OFFSET);
    if (kind >= LIST_KINDS.length) {
      throw new WireException("unknown list form " + kind);
    }
    return LIST_KINDS[kind];
  }

  /** The entries of an endpoint list, in their order. */
  List<Member> members() {
    int field = start + LIST_ENTRIES_OFFSET;
    int firstEntry = frame.tailPartStart(field, ENTRY_BYTES);
    int count = frame.tailPartCount(field);
    List<Member> members = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      members.add(member(firstEntry + i * ENTRY_BYTES));
    }
    return members;
  }

  private Member member(int entry) {
    int state = frame.unsignedByte(entry + ENTRY_STATE_OFFSET);
    if (state >= STATES.length) {
      throw new WireException("unknown phase " + state);
    }
    return new Member(
        frame.int32(entry + ENTRY_SERVER_OFFSET),
        frame.unsignedShort(entry + ENTRY_ZONE_OFFSET),
        frame.unsignedByte(entry + ENTRY_KIND_OFFSET),
        frame.unsignedShort(entry + ENTRY_CELL_OFFSET),
        STATES[state],
        frame.float32(entry + ENTRY_WEIGHT_OFFSET),
        frame.float64(entry + ENTRY_BORN_OFFSET));
  }

  /** A client's request; its cost is NaN where the simulator gives none, as the policy has it. */
  Request request() {
    int flags = frame.unsignedShort(start + REQUEST_FLAGS_OFFSET);
    boolean hasCost = (flags & FLAG_HAS_COST) != 0;
    return new Request(
        requestId(),
        frame.unsignedShort(start + REQUEST_CLASS_OFFSET),
        frame.int32(start + REQUEST_TENANT_OFFSET),
        frame.int64(start + REQUEST_KEY_OFFSET),
        frame.float64(start + REQUEST_DUE_OFFSET),
        hasCost ? frame.float64(start + REQUEST_COST_OFFSET) : Double.NaN,
        frame.float32(start + REQUEST_BYTES_OFFSET),
        (flags & FLAG_WRITE) != 0,
        (flags & FLAG_REPEAT) != 0);
  }

  /** The request that a request, first byte, end of an attempt or client's leaving is about. */
  int requestId() {
    return frame.int32(start + REQUEST_ID_OFFSET);
  }

  /** The number of an attempt within its request, from 0, of a first byte or an end. */
  int attempt() {
    return frame.unsignedByte(start + ATTEMPT_NUMBER_OFFSET);
  }

  /** The server of an attempt, of a first byte or an end. */
  int attemptServer() {
    return frame.int32(start + ATTEMPT_SERVER_OFFSET);
  }

  AttemptEnd attemptEnd() {
    return new AttemptEnd(
        requestId(),
        attempt(),
        attemptServer(),
        outcome(ATTEMPT_STATUS_OFFSET),
        frame.float64(start + ATTEMPT_ELAPSED_OFFSET),
        frame.unsignedByte(start + ATTEMPT_OVER_OFFSET) != 0,
        frame.int32(start + ATTEMPT_NOTE_OFFSET),
        loadReport(ATTEMPT_REPORT_OFFSET));
  }

  int timerToken() {
    return frame.int32(start + TIMER_TOKEN_OFFSET);
  }

  int probedServer() {
    return frame.int32(start + PROBE_SERVER_OFFSET);
  }

  Outcome probeOutcome() {
    return outcome(PROBE_STATUS_OFFSET);
  }

  double probeElapsedMs() {
    return frame.float64(start + PROBE_ELAPSED_OFFSET);
  }

  /** The load report that came with the result of a health check, or null as the policy has it. */
  float[] probeLoadReport() {
    return loadReport(PROBE_REPORT_OFFSET);
  }

  /** The instance that a message is from. */
  int peer() {
    return frame.int32(start + PEER_OFFSET);
  }

  byte[] peerMessage() {
    return frame.tailBytes(start + PEER_MESSAGE_OFFSET);
  }

  private Outcome outcome(int offset) {
    return AttemptStatus.outcomeOf(frame.unsignedShort(start + offset));
  }

  /** Null: there is none. That is the form of the policy's interface. */
  private float[] loadReport(int offset) {
    int count = frame.unsignedByte(start + offset);
    if (count > MAX_REPORT_VALUES) {
      throw new WireException("load report of " + count + " values");
    }
    if (count == 0) {
      return null;
    }
    float[] values = new float[count];
    for (int i = 0; i < count; i++) {
      values[i] = frame.float32(start + offset + 1 + Float.BYTES * i);
    }
    return values;
  }
}
