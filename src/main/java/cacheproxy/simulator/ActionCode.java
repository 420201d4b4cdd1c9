package cacheproxy.simulator;

/** The kinds of action records in a reply and their codes on the wire. */
enum ActionCode {
  PLACE(10),
  DENY(20),
  FAIL(30),
  CANCEL(40),
  SET_TIMER(50),
  PROBE(60),
  CLOSE_IDLE(70),
  TELL(80),
  LOG(90),
  /** The instance failed with an exception; the simulated day ends. */
  FAULT(100),
  WATCH(110),
  FETCH_LIST(120);

  private final byte code;

  ActionCode(int code) {
    this.code = (byte) code;
  }

  byte code() {
    return code;
  }
}
