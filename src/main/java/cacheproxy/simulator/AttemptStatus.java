package cacheproxy.simulator;

import cacheproxy.routing.RoutingApi.Outcome;

/** The status codes of attempts and health checks on the wire, with the policy's outcomes. */
enum AttemptStatus {
  SERVED(100, Outcome.OK),
  NO_VALUE(101, Outcome.MISS),
  SERVER_ERROR(301, Outcome.ERROR),
  REJECTED(302, Outcome.FULL),
  TIMED_OUT(303, Outcome.TIMEOUT),
  NO_CONNECTION(304, Outcome.CONNECT_FAILED),
  CONNECTION_LOST(305, Outcome.RESET),
  CANCELLED(306, Outcome.CANCELLED),
  NOT_SENT(307, Outcome.NOT_SENT);

  private static final AttemptStatus[] ALL = values();

  private final int code;
  private final Outcome outcome;

  AttemptStatus(int code, Outcome outcome) {
    this.code = code;
    this.outcome = outcome;
  }

  /**
   * The outcome that a status code stands for.
   *
   * @throws WireException if it is none of the codes
   */
  static Outcome outcomeOf(int code) {
    for (AttemptStatus status : ALL) {
      if (status.code == code) {
        return status.outcome;
      }
    }
    throw new WireException("unknown status " + code);
  }
}
