package cacheproxy.limits;

/**
 * What one peer holds: bytes by what they are held for, and how often it was served. Opened by
 * {@link ByteAccounts}.
 */
public final class ByteAccount {
  /**
   * So many bytes at most always have room. Guards receipts, refusals and short values, which cost
   * next to nothing, against a shortage that long values have made. All clients' hands full of
   * these pass the bounds by 16 KiB for each connection.
   */
  public static final int SHORT_BYTES = 1024;

  private static final BufferPurpose[] KINDS = BufferPurpose.values();

  private final ByteAccounts all;
  private final long[] held = new long[KINDS.length];
  private long served;
  private boolean closed;

  ByteAccount(ByteAccounts all) {
    this.all = all;
  }

  /**
   * Charges these bytes, or nothing: false if they are more than {@link #SHORT_BYTES} and would
   * pass the bound on what all may hold of this kind. An account that is closed takes nothing.
   */
  public boolean charge(BufferPurpose kind, int bytes) {
    if (closed || bytes > SHORT_BYTES && !all.room(kind, bytes)) {
      return false;
    }
    add(kind, bytes);
    return true;
  }

  /** Gives back; IllegalStateException if more than is held, which would be somebody else's. */
  public void release(BufferPurpose kind, long bytes) {
    if (bytes > held[kind.ordinal()]) {
      throw new IllegalStateException(
          bytes + " bytes of " + kind + " given back, of " + held[kind.ordinal()]);
    }
    add(kind, -bytes);
  }

  /**
   * Makes what is held of this kind this much: of what has come already, whether or not there is
   * room for it.
   */
  public void set(BufferPurpose kind, long bytes) {
    add(kind, bytes - held[kind.ordinal()]);
  }

  private void add(BufferPurpose kind, long bytes) {
    held[kind.ordinal()] += bytes;
    all.add(kind, bytes);
  }

  public long held(BufferPurpose kind) {
    return held[kind.ordinal()];
  }

  /** Bytes held of all kinds. */
  public long held() {
    long sum = 0;
    for (long h : held) {
      sum += h;
    }
    return sum;
  }

  /** One more of the peer's requests has been answered. */
  public void answered() {
    served++;
  }

  /** Requests answered since the account was opened. */
  public long served() {
    return served;
  }

  /**
   * The peer has gone: nothing more is charged, and what is still held stays until it is given
   * back.
   */
  public void close() {
    closed = true;
  }
}
