package cacheproxy.limits;

/** The reasons for which the proxy disconnects a peer, delays it or denies it memory. */
public enum DisconnectReason {
  /** The connection was idle, and its slot was needed for new clients. */
  IDLE("idle"),
  /** The client never sent a valid request, and connection slots were short. */
  NO_VALID_REQUEST("useless"),
  /** The client connected and then sent nothing for longer than {@link Limits#silentMs()}. */
  SILENT("silent"),
  /** The client sent its command more slowly than the minimum rate. */
  SLOW_WRITER("slow writer"),
  /** The client read its responses more slowly than the minimum rate. */
  SLOW_READER("slow reader"),
  /**
   * The client was behind its minimum rate when memory or connection slots were short. When memory
   * was short, {@link FairShare} selected it; when slots were short, it had the largest deficit.
   */
  UNFAIR_SHARE("hoarder"),
  /**
   * No memory was left for a request value or a response, so the proxy rejected the request or
   * discarded the response.
   */
  NO_CAPACITY("no room"),
  /** A cache node or origin server sent its response more slowly than the minimum rate. */
  SLOW_NODE("slow node"),
  /**
   * The client's address was rejected repeatedly, so {@link ClientBackoff} delays the error of its
   * rejected command.
   */
  BACKED_OFF("held off");

  private final String logName;

  DisconnectReason(String logName) {
    this.logName = logName;
  }

  /**
   * The name in the log line {@code cut off:}. It must not change because docs/limits.md documents
   * it.
   */
  public String logName() {
    return logName;
  }
}
