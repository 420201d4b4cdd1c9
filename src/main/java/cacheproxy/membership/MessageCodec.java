package cacheproxy.membership;

import cacheproxy.membership.Message.Header;
import cacheproxy.membership.Message.ViewSection;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Encodes and decodes {@link Message}s. An encoded message has at most {@link #MAX_BYTES} bytes;
 * all fields are big-endian:
 *
 * <pre>
 * bytes  field
 * 1      0xC1, the first byte of all internal datagrams between proxies
 * 1      'm', the type of membership datagrams
 * 1      version
 * 1      type, the ordinal of a MessageType
 * 2      process id
 * 4      sequence number
 * 2      sender's status (3 bits of state, 13 of incarnation)
 * 2      receiver's status
 * 2      flags; bit 0: the sender is unreliable
 * 4      nonce
 * 2      target (0xFFFF: none)
 * 2      tier size
 *        --- decoded only if the version is this one:
 * 1      number of updates; each has 2 bytes member, 2 status, 2 accuser (0xFFFF: none)
 * 2      first member of the view section
 * 1      number of statuses; each has 2 bytes
 * </pre>
 *
 * <p>The header is the same in every version, so that proxies of different versions can detect each
 * other's failures.
 */
final class MessageCodec {
  /** Maximum length of a message. */
  static final int MAX_BYTES = 256;

  /** Maximum number of updates in one message. It leaves space for a section of the view. */
  static final int MAX_UPDATES = 8;

  private static final byte MAGIC = (byte) 0xC1;
  private static final byte MEMBERSHIP = 'm';
  private static final int VERSION = 1;
  private static final int VERSION_OFFSET = 2;
  private static final int TYPE_OFFSET = 3;
  private static final int ID_OFFSET = 4;
  private static final int HEADER_BYTES = 24;
  private static final int COUNT_BYTES = 1;
  private static final int UPDATE_BYTES = 6;
  private static final int SECTION_HEADER_BYTES = 3;
  private static final int STATUS_BYTES = 2;
  private static final int INCARNATION_BITS = 13;
  private static final int STATE_MASK = 7;
  private static final int UNRELIABLE_FLAG = 1;

  /** Wire value of an absent member number. */
  private static final int NO_MEMBER = 0xFFFF;

  private static final MessageType[] TYPES = MessageType.values();
  private static final MemberState[] STATES = MemberState.values();

  private MessageCodec() {}

  /** Returns how many statuses fit into a message that has {@code updates} updates. */
  static int maxStatuses(int updates) {
    return (MAX_BYTES - HEADER_BYTES - COUNT_BYTES - updates * UPDATE_BYTES - SECTION_HEADER_BYTES)
        / STATUS_BYTES;
  }

  /**
   * Returns how many updates a message may have in a tier of this size. If the complete view fits
   * into a message with two updates, the number of updates is limited so that it always does,
   * because the complete view contains the same statuses as the updates.
   */
  static int maxUpdates(int tierSize) {
    if (tierSize > maxStatuses(2)) {
      return MAX_UPDATES;
    }
    int left =
        MAX_BYTES - HEADER_BYTES - COUNT_BYTES - SECTION_HEADER_BYTES - STATUS_BYTES * tierSize;
    return Math.min(MAX_UPDATES, left / UPDATE_BYTES);
  }

  /** Encodes a message in the current version. */
  static byte[] encode(Message message) {
    List<MemberUpdate> updates = message.updates();
    List<MemberStatus> statuses = message.view().statuses();
    ByteBuffer buffer =
        ByteBuffer.allocate(
            HEADER_BYTES
                + COUNT_BYTES
                + UPDATE_BYTES * updates.size()
                + SECTION_HEADER_BYTES
                + STATUS_BYTES * statuses.size());
    encodeHeader(buffer, message.header());
    buffer.put((byte) updates.size());
    for (MemberUpdate update : updates) {
      buffer.putShort((short) update.member());
      buffer.putShort(statusBits(update.status()));
      buffer.putShort((short) update.accuser().orElse(NO_MEMBER));
    }
    buffer.putShort((short) message.view().firstMember());
    buffer.put((byte) statuses.size());
    for (MemberStatus status : statuses) {
      buffer.putShort(statusBits(status));
    }
    return buffer.array();
  }

  private static void encodeHeader(ByteBuffer buffer, Header header) {
    buffer.put(MAGIC);
    buffer.put(MEMBERSHIP);
    buffer.put((byte) VERSION);
    buffer.put((byte) header.type().ordinal());
    buffer.putShort((short) header.processId());
    buffer.putInt(header.sequenceNumber());
    buffer.putShort(statusBits(header.senderStatus()));
    buffer.putShort(statusBits(header.receiverStatus()));
    buffer.putShort((short) (header.senderUnreliable() ? UNRELIABLE_FLAG : 0));
    buffer.putInt(header.nonce());
    buffer.putShort((short) header.target().orElse(NO_MEMBER));
    buffer.putShort((short) header.tierSize());
  }

  private static short statusBits(MemberStatus status) {
    return (short) (status.state().ordinal() << INCARNATION_BITS | status.incarnation());
  }

  /**
   * Decodes a datagram. If it is of another version, only the header is decoded.
   *
   * @return the message, or empty if the datagram is not a membership message, is truncated or too
   *     long, or has a field with an undefined value
   */
  static Optional<Message> decode(byte[] datagram) {
    if (datagram.length < HEADER_BYTES
        || datagram.length > MAX_BYTES
        || datagram[0] != MAGIC
        || datagram[1] != MEMBERSHIP
        || datagram[VERSION_OFFSET] < 1
        || datagram[TYPE_OFFSET] < 0
        || datagram[TYPE_OFFSET] >= TYPES.length) {
      return Optional.empty();
    }
    ByteBuffer buffer = ByteBuffer.wrap(datagram, ID_OFFSET, datagram.length - ID_OFFSET);
    Optional<Header> header = decodeHeader(TYPES[datagram[TYPE_OFFSET]], buffer);
    if (datagram[VERSION_OFFSET] != VERSION) {
      return header.map(known -> new Message(known, List.of(), ViewSection.EMPTY));
    }
    return header.flatMap(known -> decodeBody(known, buffer));
  }

  private static Optional<Header> decodeHeader(MessageType type, ByteBuffer buffer) {
    int processId = unsignedShort(buffer);
    int sequenceNumber = buffer.getInt();
    Optional<MemberStatus> senderStatus = decodeStatus(buffer);
    Optional<MemberStatus> receiverStatus = decodeStatus(buffer);
    boolean senderUnreliable = (unsignedShort(buffer) & UNRELIABLE_FLAG) != 0;
    int nonce = buffer.getInt();
    OptionalInt target = decodeMember(buffer);
    int tierSize = unsignedShort(buffer);
    if (senderStatus.isEmpty() || receiverStatus.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Header(
            type,
            processId,
            sequenceNumber,
            senderStatus.get(),
            receiverStatus.get(),
            senderUnreliable,
            nonce,
            target,
            tierSize));
  }

  private static Optional<Message> decodeBody(Header header, ByteBuffer buffer) {
    if (!buffer.hasRemaining()) {
      return Optional.empty();
    }
    int updateCount = unsignedByte(buffer);
    if (updateCount > MAX_UPDATES
        || buffer.remaining() < updateCount * UPDATE_BYTES + SECTION_HEADER_BYTES) {
      return Optional.empty();
    }
    List<MemberUpdate> updates = new ArrayList<>(updateCount);
    for (int i = 0; i < updateCount; i++) {
      int member = unsignedShort(buffer);
      Optional<MemberStatus> status = decodeStatus(buffer);
      OptionalInt accuser = decodeMember(buffer);
      if (status.isEmpty()) {
        return Optional.empty();
      }
      updates.add(new MemberUpdate(member, status.get(), accuser));
    }
    return decodeView(buffer).map(view -> new Message(header, updates, view));
  }

  private static Optional<ViewSection> decodeView(ByteBuffer buffer) {
    int firstMember = unsignedShort(buffer);
    int statusCount = unsignedByte(buffer);
    if (buffer.remaining() != STATUS_BYTES * statusCount) {
      return Optional.empty();
    }
    List<MemberStatus> statuses = new ArrayList<>(statusCount);
    for (int i = 0; i < statusCount; i++) {
      Optional<MemberStatus> status = decodeStatus(buffer);
      if (status.isEmpty()) {
        return Optional.empty();
      }
      statuses.add(status.get());
    }
    return Optional.of(new ViewSection(firstMember, statuses));
  }

  private static Optional<MemberStatus> decodeStatus(ByteBuffer buffer) {
    int bits = unsignedShort(buffer);
    int state = bits >> INCARNATION_BITS & STATE_MASK;
    return state < STATES.length
        ? Optional.of(new MemberStatus(STATES[state], bits & (Incarnation.MODULUS - 1)))
        : Optional.empty();
  }

  private static OptionalInt decodeMember(ByteBuffer buffer) {
    int member = unsignedShort(buffer);
    return member == NO_MEMBER ? OptionalInt.empty() : OptionalInt.of(member);
  }

  private static int unsignedShort(ByteBuffer buffer) {
    return Short.toUnsignedInt(buffer.getShort());
  }

  private static int unsignedByte(ByteBuffer buffer) {
    return Byte.toUnsignedInt(buffer.get());
  }
}
