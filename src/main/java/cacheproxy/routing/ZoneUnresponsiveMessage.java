package cacheproxy.routing;

import java.util.Optional;

/**
 * Message by which a proxy instance reports that a zone doesn't answer: three bytes, for the type,
 * the sender's zone and the unresponsive zone.
 */
record ZoneUnresponsiveMessage(int senderZone, int unresponsiveZone) {
  private static final byte TYPE = 'Z';
  private static final int LENGTH = 3;

  byte[] encode() {
    return new byte[] {TYPE, (byte) senderZone, (byte) unresponsiveZone};
  }

  /** Decodes a message; empty if the bytes have another type or length. */
  static Optional<ZoneUnresponsiveMessage> decode(byte[] message) {
    return message.length == LENGTH && message[0] == TYPE
        ? Optional.of(new ZoneUnresponsiveMessage(message[1], message[2]))
        : Optional.empty();
  }
}
