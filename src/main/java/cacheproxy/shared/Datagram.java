package cacheproxy.shared;

import cacheproxy.shared.VerdictEvidence.Kind;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between two proxies about what they share, 256 bytes at most. A NUDGE says that
 * there is news; an ASK wants it; a TELL is the answer to one ASK, and nothing is believed that
 * comes in any other way: what is asked for is at most as old as the question, whatever the wire
 * has done to it.
 *
 * @param life drawn at the sender's start
 * @param nonce of an ASK, and of its TELL
 * @param digest of all that the sender holds of nodes
 * @param cursor of an ASK: from where on in the teller's evidence; of a TELL: where to go on
 * @param evidence with ages in place of times: {@code atMs} and {@code untilMs} are from now, back
 *     and ahead
 * @param rights questions in an ASK, answers in a TELL
 * @param totals of {@link TierCounters}
 */
record Datagram(
    Type type,
    int life,
    int nonce,
    int digest,
    int cursor,
    List<VerdictEvidence> evidence,
    List<Right> rights,
    List<Total> totals) {
  enum Type {
    NUDGE,
    ASK,
    TELL
  }

  /**
   * @param node whose cold budget it is about
   */
  record Right(int node, SlowStartQuota.Message message) {}

  /**
   * @param kind what is counted
   * @param ageMs how long ago it was so
   */
  record Total(int kind, TierCounters.Total total, double ageMs) {}

  static final byte MARK = (byte) 0xC1;
  static final byte TYPE = 's';
  private static final int VERSION = 1;
  static final int MOST_BYTES = 256;
  private static final int HEAD = 16;
  private static final int EVIDENCE_BYTES = 13;
  private static final int RIGHT_BYTES = 16;
  private static final int TOTAL_BYTES = 15;

  /** Ages travel in hundredths of a second. */
  private static final double STEP_MS = 10;

  static final int MOST_RIGHTS = 4;

  /** Pieces of evidence that fit beside the rest. */
  static int room(int rights, int totals) {
    return (MOST_BYTES - HEAD - 3 - rights * RIGHT_BYTES - totals * TOTAL_BYTES) / EVIDENCE_BYTES;
  }

  /** Totals that fit beside the rest. */
  static int totals(int evidence, int rights) {
    return (MOST_BYTES - HEAD - 3 - rights * RIGHT_BYTES - evidence * EVIDENCE_BYTES) / TOTAL_BYTES;
  }

  static boolean is(byte[] bytes) {
    return bytes.length >= 2 && bytes[0] == MARK && bytes[1] == TYPE;
  }

  byte[] bytes() {
    int size =
        type == Type.NUDGE
            ? HEAD
            : HEAD
                + 3
                + EVIDENCE_BYTES * evidence.size()
                + RIGHT_BYTES * rights.size()
                + TOTAL_BYTES * totals.size();
    ByteBuffer b = ByteBuffer.allocate(size);
    b.put(MARK)
        .put(TYPE)
        .put((byte) VERSION)
        .put((byte) type.ordinal())
        .putShort((short) life)
        .putInt(nonce)
        .putInt(digest)
        .putShort((short) cursor);
    if (type == Type.NUDGE) {
      return b.array();
    }
    b.put((byte) evidence.size()).put((byte) rights.size()).put((byte) totals.size());
    for (VerdictEvidence e : evidence) {
      b.putInt(e.node())
          .put((byte) (e.kind().ordinal() << 6 | e.zone()))
          .putShort((short) e.witness())
          .putShort((short) e.serial())
          .putShort(steps(-e.atMs()))
          .putShort(steps(e.untilMs()));
    }
    for (Right r : rights) {
      b.putInt(r.node)
          .putInt((r.message.grant() ? 1 << 31 : 0) | r.message.units())
          .putInt(r.message.nonce())
          .putInt(r.message.renews());
    }
    for (Total t : totals) {
      b.put((byte) t.kind)
          .putShort((short) t.total.proxy())
          .putShort((short) t.total.life())
          .putShort(steps(t.ageMs))
          .putLong(t.total.count());
    }
    return b.array();
  }

  private static short steps(double ms) {
    return (short) Math.max(0, Math.min(0xFFFF, Math.ceil(ms / STEP_MS)));
  }

  /** Null: it is none, is cut, of another version, or holds what can't be. */
  static Datagram parse(byte[] bytes) {
    if (!is(bytes)
        || bytes.length < HEAD
        || bytes.length > MOST_BYTES
        || bytes[2] != VERSION
        || bytes[3] < 0
        || bytes[3] >= Type.values().length) {
      return null;
    }
    ByteBuffer b = ByteBuffer.wrap(bytes, 4, bytes.length - 4);
    Type type = Type.values()[bytes[3]];
    int life = u16(b);
    int nonce = b.getInt();
    int digest = b.getInt();
    int cursor = u16(b);
    List<VerdictEvidence> evidence = new ArrayList<>();
    List<Right> rights = new ArrayList<>();
    List<Total> totals = new ArrayList<>();
    if (type == Type.NUDGE) {
      return b.hasRemaining()
          ? null
          : new Datagram(type, life, nonce, digest, cursor, evidence, rights, totals);
    }
    if (b.remaining() < 3) {
      return null;
    }
    int pieces = b.get() & 0xFF;
    int grants = b.get() & 0xFF;
    int counts = b.get() & 0xFF;
    if (b.remaining() != pieces * EVIDENCE_BYTES + grants * RIGHT_BYTES + counts * TOTAL_BYTES) {
      return null;
    }
    for (int i = 0; i < pieces; i++) {
      int node = b.getInt();
      int bits = b.get() & 0xFF;
      if (bits >> 6 >= Kind.values().length) {
        return null;
      }
      int witness = u16(b);
      int serial = u16(b);
      double at = 0 - u16(b) * STEP_MS;
      evidence.add(
          new VerdictEvidence(
              node, Kind.values()[bits >> 6], witness, bits & 0x3F, serial, at, u16(b) * STEP_MS));
    }
    for (int i = 0; i < grants; i++) {
      int node = b.getInt();
      int bits = b.getInt();
      int of = b.getInt();
      rights.add(
          new Right(
              node,
              new SlowStartQuota.Message(bits < 0, of, bits & Integer.MAX_VALUE, b.getInt())));
    }
    for (int i = 0; i < counts; i++) {
      int kind = b.get();
      int proxy = u16(b);
      int itsLife = u16(b);
      double age = u16(b) * STEP_MS;
      long count = b.getLong();
      if (count < 0 || itsLife == 0) {
        return null;
      }
      totals.add(new Total(kind, new TierCounters.Total(proxy, itsLife, count), age));
    }
    return new Datagram(type, life, nonce, digest, cursor, evidence, rights, totals);
  }

  private static int u16(ByteBuffer b) {
    return b.getShort() & 0xFFFF;
  }
}
