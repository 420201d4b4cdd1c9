package cacheproxy.limits;

/**
 * The purposes for which buffer memory is reserved. Every buffer of the proxy is counted under
 * exactly one purpose in the {@link ByteAccount} of one connection.
 */
public enum BufferPurpose {
  /** Bytes read from a connection that have not been parsed or processed yet. */
  INPUT("INPUT"),
  /** Command lines and values of clients' requests, until the request has completed. */
  REQUEST_VALUE("VALUE"),
  /** Incomplete responses of cache nodes and origin servers. */
  UPSTREAM_RESPONSE("READING"),
  /**
   * Complete responses that are queued behind earlier responses or that the client has not read
   * yet.
   */
  CLIENT_RESPONSE("ANSWER"),
  /**
   * Chunks of large values that are streamed to clients. When the client falls behind, the proxy
   * stops reading from the upstream connection.
   */
  STREAMING("PASSING"),
  /** Requests that are written to a cache node or origin server. */
  OUTPUT("OUTPUT");

  private final String logName;

  BufferPurpose(String logName) {
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
