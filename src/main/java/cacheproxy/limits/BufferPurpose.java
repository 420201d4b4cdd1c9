package cacheproxy.limits;

/**
 * What bytes are held for. Each buffer of the program is held for one of these, by one {@link
 * ByteAccount}.
 */
public enum BufferPurpose {
  /**
   * Read from the peer and not worked off: part of a command or an answer, or what waits behind a
   * full hand.
   */
  INPUT,
  /** Values that clients have sent, until their requests are over. */
  VALUE,
  /** Answers of servers that are not whole yet. */
  READING,
  /** Whole answers that wait for their turn or for the client to take them. */
  ANSWER,
  /**
   * Parts of long values on their way to clients, each with its server held back while its client
   * is behind.
   */
  PASSING,
  /** Requests on their way out to a server. */
  OUTPUT
}
