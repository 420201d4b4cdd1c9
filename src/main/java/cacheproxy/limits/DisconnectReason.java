package cacheproxy.limits;

/** Why a peer was disconnected, delayed or denied memory. */
public enum DisconnectReason {
  /** The connection was idle, and new clients need its slot. */
  IDLE("idle"),
  /** It never sent a valid request, and connection slots were short. */
  NO_VALID_REQUEST("useless"),
  /** It connected and sent nothing for too long. */
  SILENT("silent"),
  /** Its command arrived below the minimum rate. */
  SLOW_WRITER("slow writer"),
  /** It read its responses below the minimum rate. */
  SLOW_READER("slow reader"),
  /**
   * It was behind its minimum rate, and exceeded its fair share by the most when memory was short;
   * or it was the furthest behind when no connection slot was free.
   */
  UNFAIR_SHARE("hoarder"),
  /** There was no memory for its value or response, and all other clients kept up. */
  NO_CAPACITY("no room"),
  /** An upstream server's response arrived below the minimum rate. */
  SLOW_NODE("slow node"),
  /** Its address was rejected repeatedly, so the connection is read later. */
  BACKED_OFF("held off");

  private final String logName;

  DisconnectReason(String logName) {
    this.logName = logName;
  }

  /** The name in the log line {@code cut off:}; documented in docs/limits.md and kept stable. */
  public String logName() {
    return logName;
  }
}
