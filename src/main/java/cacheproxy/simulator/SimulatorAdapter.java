package cacheproxy.simulator;

import cacheproxy.routing.Policy;
import cacheproxy.routing.RoutingApi;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/**
 * Connects the simulator to routing policies: reads batches of events, hands each event to the
 * policy of its instance and writes one reply for each batch. It decides nothing itself. Instances
 * share nothing. Used by one thread.
 */
final class SimulatorAdapter {
  private static final int MAX_INSTANCES = 1 << Short.SIZE;

  private final DataInputStream in;
  private final OutputStream out;
  private final EventFrame frame = new EventFrame();
  private final EventRecord event = new EventRecord(frame);
  private final ReplyFrame reply = new ReplyFrame();

  /** By their number; null: the instance is not running. */
  private final RoutingApi[] instances = new RoutingApi[MAX_INSTANCES];

  /** An adapter between two streams, which it does not close. */
  SimulatorAdapter(InputStream in, OutputStream out) {
    this.in = new DataInputStream(in);
    this.out = out;
  }

  /**
   * Answers batches until the input ends.
   *
   * @throws WireException if the input is malformed; replies to earlier batches have been written
   */
  void run() throws IOException {
    while (frame.read(in)) {
      reply.clear();
      for (int i = 0; i < frame.recordCount(); i++) {
        event.moveTo(i);
        dispatch(i);
      }
      reply.write(out, frame.batch());
    }
  }

  /** An exception of the policy ends the simulated day, with the reason in the reply. */
  private void dispatch(int recordIndex) {
    int instance = event.instance();
    reply.setInstance(instance);
    try {
      deliver(instance);
    } catch (WireException e) {
      throw new WireException(
          "batch " + frame.batch() + ", record " + recordIndex + ": " + e.getMessage(), e);
    } catch (RuntimeException e) {
      StackTraceElement[] trace = e.getStackTrace();
      reply.fault("instance " + instance + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
    }
  }

  private void deliver(int instance) {
    if (event.is(EventCode.START)) {
      instances[instance] =
          new Policy(SettingsParser.fromLines(event.settingsText()).settings(), event.seed());
      return;
    }
    RoutingApi policy = instances[instance];
    if (policy == null) {
      throw new WireException("unknown instance " + instance);
    }
    if (event.is(EventCode.STOP)) {
      instances[instance] = null;
      return;
    }
    deliver(policy, frame.nowMs());
  }

  private void deliver(RoutingApi policy, double nowMs) {
    EventCode code = event.code();
    switch (code) {
      case ENDPOINT_LIST -> policy.onList(nowMs, event.listKind(), event.members(), reply);
      case REQUEST -> policy.onRequest(nowMs, event.request(), reply);
      case FIRST_BYTE ->
          policy.onFirstByte(
              nowMs, event.requestId(), event.attempt(), event.attemptServer(), reply);
      case ATTEMPT_END -> policy.onAttemptEnd(nowMs, event.attemptEnd(), reply);
      case CLIENT_GONE -> policy.onClientGone(nowMs, event.requestId(), reply);
      case TIMER -> policy.onTimer(nowMs, event.timerToken(), reply);
      case PROBE_RESULT ->
          policy.onHealthCheck(
              nowMs,
              event.probedServer(),
              event.probeOutcome(),
              event.probeElapsedMs(),
              event.probeLoadReport(),
              reply);
      case PEER_MESSAGE -> policy.onPeerMessage(nowMs, event.peer(), event.peerMessage(), reply);
      case START, STOP -> throw new AssertionError(code + " is handled by the caller");
    }
  }
}
