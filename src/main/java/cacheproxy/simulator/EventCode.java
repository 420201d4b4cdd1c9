package cacheproxy.simulator;

/** The kinds of event records and their codes on the wire. */
enum EventCode {
  /** An instance begins, with its seed and settings. */
  START(10),
  /** The endpoint list, or changes of it. */
  ENDPOINT_LIST(20),
  /** A client's request. */
  REQUEST(30),
  /** A streamed response has begun. */
  FIRST_BYTE(40),
  /** An attempt has ended. */
  ATTEMPT_END(50),
  /** The client has left. */
  CLIENT_GONE(60),
  /** A timer is due. */
  TIMER(70),
  /** The result of a health check. */
  PROBE_RESULT(80),
  /** A message from another instance. */
  PEER_MESSAGE(90),
  /** An instance ends. */
  STOP(100);

  private static final EventCode[] BY_CODE = new EventCode[1 << Byte.SIZE];

  static {
    for (EventCode event : values()) {
      BY_CODE[event.code] = event;
    }
  }

  private final int code;

  EventCode(int code) {
    this.code = code;
  }

  /**
   * The kind of this code.
   *
   * @param code an unsigned byte
   * @throws WireException if no event has it
   */
  static EventCode of(int code) {
    EventCode event = BY_CODE[code];
    if (event == null) {
      throw new WireException("unknown event code " + code);
    }
    return event;
  }

  int code() {
    return code;
  }
}
