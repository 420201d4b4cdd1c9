package cacheproxy.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between two proxies, 256 bytes at most. The first 24 bytes are the same in every
 * version, so that proxies of two versions at least hear each other; what follows them in another
 * version is not read.
 *
 * @param kind what it is
 * @param life drawn at the sender's start: tells its processes apart
 * @param sequence counts the sender's messages; what is not newer than the last one heard proves
 *     nothing
 * @param own the sender's word on itself
 * @param held what the sender holds of the receiver
 * @param doubtful the sender does not trust its own ears: nothing that it says against others
 *     counts
 * @param nonce of a question, and of its answer
 * @param subject whom a question is about that goes through others; -1: none
 * @param tier how many members the sender's configuration names
 * @param news what changed last, each told a bounded number of times
 * @param from first member of the part of the view that goes with it
 * @param part so many members' entries from there on
 */
record Message(
    Kind kind,
    int life,
    int sequence,
    Entry own,
    Entry held,
    boolean doubtful,
    int nonce,
    int subject,
    int tier,
    List<News> news,
    int from,
    List<Entry> part) {
  /**
   * No answer is wanted to a WORD; ASK is for a question on the sender's behalf, TOLD says that it
   * was answered.
   */
  enum Kind {
    PING,
    ACK,
    ASK,
    TOLD,
    WORD
  }

  /** A state at an incarnation: 16 bits on the wire. */
  record Entry(State state, int incarnation) {
    static final Entry NOTHING = new Entry(State.UNKNOWN, 0);

    int bits() {
      return state.ordinal() << 13 | incarnation;
    }

    static Entry of(int bits) {
      int state = bits >> 13 & 7;
      return state < State.values().length
          ? new Entry(State.values()[state], bits & (Incarnation.CIRCLE - 1))
          : null;
    }
  }

  /**
   * @param accuser whose own question had no answer; -1: none, or not known
   */
  record News(int member, Entry entry, int accuser) {}

  static final byte MARK = (byte) 0xC1;
  static final byte TYPE = 'm';
  static final int VERSION = 1;
  static final int MOST_BYTES = 256;
  private static final int HEAD = 24;
  private static final int NEWS_BYTES = 6;
  private static final int NONE = 0xFFFF;

  /** In each message, so that the view always has room beside them. */
  static final int MOST_NEWS = 8;

  /** Entries that fit beside so many news. */
  static int room(int news) {
    return (MOST_BYTES - HEAD - 1 - news * NEWS_BYTES - 3) / 2;
  }

  /**
   * So many news as leave room for the whole view of a tier where it fits at all, as it says the
   * same and more.
   */
  static int news(int tier) {
    return tier > room(2)
        ? MOST_NEWS
        : Math.min(MOST_NEWS, (MOST_BYTES - HEAD - 1 - 3 - 2 * tier) / NEWS_BYTES);
  }

  /** Whether a datagram that begins as none of the module's may is one of these. */
  static boolean is(byte[] bytes) {
    return bytes.length >= 2 && bytes[0] == MARK && bytes[1] == TYPE;
  }

  byte[] bytes() {
    ByteBuffer b = ByteBuffer.allocate(HEAD + 1 + NEWS_BYTES * news.size() + 3 + 2 * part.size());
    b.put(MARK)
        .put(TYPE)
        .put((byte) VERSION)
        .put((byte) kind.ordinal())
        .putShort((short) life)
        .putInt(sequence)
        .putShort((short) own.bits())
        .putShort((short) held.bits())
        .putShort((short) (doubtful ? 1 : 0))
        .putInt(nonce)
        .putShort((short) (subject < 0 ? NONE : subject))
        .putShort((short) tier)
        .put((byte) news.size());
    for (News n : news) {
      b.putShort((short) n.member)
          .putShort((short) n.entry.bits())
          .putShort((short) (n.accuser < 0 ? NONE : n.accuser));
    }
    b.putShort((short) from).put((byte) part.size());
    for (Entry e : part) {
      b.putShort((short) e.bits());
    }
    return b.array();
  }

  /** Null: it is none, is cut or holds what can't be. */
  static Message parse(byte[] bytes) {
    if (!is(bytes)
        || bytes.length < HEAD
        || bytes.length > MOST_BYTES
        || bytes[2] < 1
        || bytes[3] < 0
        || bytes[3] >= Kind.values().length) {
      return null;
    }
    ByteBuffer b = ByteBuffer.wrap(bytes, 4, bytes.length - 4);
    int life = u16(b);
    int sequence = b.getInt();
    Entry own = Entry.of(u16(b));
    Entry held = Entry.of(u16(b));
    boolean doubtful = (u16(b) & 1) != 0;
    int nonce = b.getInt();
    int subject = u16(b);
    int tier = u16(b);
    if (own == null || held == null) {
      return null;
    }
    List<News> news = new ArrayList<>();
    List<Entry> part = new ArrayList<>();
    int from = 0;
    if (bytes[2] == VERSION) {
      int count = b.remaining() > 0 ? b.get() & 0xFF : -1;
      if (count < 0 || count > MOST_NEWS || b.remaining() < count * NEWS_BYTES + 3) {
        return null;
      }
      for (int i = 0; i < count; i++) {
        int member = u16(b);
        Entry entry = Entry.of(u16(b));
        int accuser = u16(b);
        if (entry == null) {
          return null;
        }
        news.add(new News(member, entry, accuser == NONE ? -1 : accuser));
      }
      from = u16(b);
      int entries = b.get() & 0xFF;
      if (b.remaining() != 2 * entries) {
        return null;
      }
      for (int i = 0; i < entries; i++) {
        Entry entry = Entry.of(u16(b));
        if (entry == null) {
          return null;
        }
        part.add(entry);
      }
    }
    return new Message(
        Kind.values()[bytes[3]],
        life,
        sequence,
        own,
        held,
        doubtful,
        nonce,
        subject == NONE ? -1 : subject,
        tier,
        news,
        from,
        part);
  }

  private static int u16(ByteBuffer b) {
    return b.getShort() & 0xFFFF;
  }
}
