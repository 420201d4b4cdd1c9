package cacheproxy.membership;

/** The type of a message. The ordinals are sent on the wire, so the order may not change. */
enum MessageType {
  /** Asks the receiver for an {@link #ACK}. */
  PING,
  /** Answers a {@link #PING}, with its nonce. */
  ACK,
  /** Asks the receiver to ping the target for the sender: an indirect probe. */
  PING_REQUEST,
  /** Answers a {@link #PING_REQUEST}, with its nonce: the target has answered. */
  INDIRECT_ACK,
  /** Carries updates only; no answer is expected. */
  ANNOUNCEMENT
}
