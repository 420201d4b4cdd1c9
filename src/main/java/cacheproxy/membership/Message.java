package cacheproxy.membership;

import java.util.List;
import java.util.OptionalInt;

/**
 * One datagram between two members: a header, the latest status updates, and a section of the
 * sender's view. {@link MessageCodec} defines the wire format.
 *
 * @param header the fields that are the same in every version of the protocol
 * @param updates recent status changes, each of which is sent a bounded number of times
 * @param view a section of the sender's view
 */
record Message(Header header, List<MemberUpdate> updates, ViewSection view) {
  /**
   * The part of a message that is the same in every version of the protocol.
   *
   * @param type the message's type
   * @param processId 16 random bits drawn when the sender's process started; tells two processes of
   *     one member apart
   * @param sequenceNumber counts the messages of the sender's process
   * @param senderStatus the sender's own status
   * @param receiverStatus the receiver's status in the sender's view
   * @param senderUnreliable whether the sender's failure detector is unreliable, so that its
   *     accusations are ignored
   * @param nonce identifies a probe and its answer
   * @param target the member that an indirect probe is about; empty for other types
   * @param tierSize the number of members in the sender's configuration
   */
  record Header(
      MessageType type,
      int processId,
      int sequenceNumber,
      MemberStatus senderStatus,
      MemberStatus receiverStatus,
      boolean senderUnreliable,
      int nonce,
      OptionalInt target,
      int tierSize) {}

  /**
   * The statuses of consecutive members in the sender's view.
   *
   * @param firstMember the number of the first member
   * @param statuses the statuses of the first member and the members with the following numbers
   */
  record ViewSection(int firstMember, List<MemberStatus> statuses) {
    static final ViewSection EMPTY = new ViewSection(0, List.of());
  }
}
