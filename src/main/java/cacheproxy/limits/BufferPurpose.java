package cacheproxy.limits;

/**
 * What buffered bytes are reserved for. Each buffer of the program is reserved for one purpose in
 * one {@link ByteAccount}.
 */
public enum BufferPurpose {
  /** Bytes read from a peer and not yet parsed or not yet processed. */
  INPUT("INPUT"),
  /** Values received from clients, until their requests have completed. */
  REQUEST_VALUE("VALUE"),
  /** Responses of upstream servers that are not complete yet. */
  UPSTREAM_RESPONSE("READING"),
  /** Complete responses that wait for their turn or for the client to read them. */
  CLIENT_RESPONSE("ANSWER"),
  /**
   * Parts of large values that are streamed to clients. The upstream connection is not read while
   * its client is behind.
   */
  STREAMING("PASSING"),
  /** Requests on their way out to an upstream server. */
  OUTPUT("OUTPUT");

  private final String logName;

  BufferPurpose(String logName) {
    this.logName = logName;
  }

  /** The name in the log line {@code cut off:}; documented in docs/limits.md and kept stable. */
  public String logName() {
    return logName;
  }
}
