package cacheproxy.membership;

/** The type of a message. The ordinals are sent on the wire, so the order may not change. */
enum MessageType {
  /** Asks the receiver for an {@link #ACK}. */
  PING,
  /** Answers a {@link #PING}, with its nonce. */
  ACK,
  /** Requests an indirect probe: the receiver is to ping the target on the sender's behalf. */
  PING_REQUEST,
  /**
   * Reports to the sender of a {@link #PING_REQUEST}, with its nonce, that the target has answered.
   */
  INDIRECT_ACK,
  /** Carries updates only; no answer is expected. */
  ANNOUNCEMENT
}
