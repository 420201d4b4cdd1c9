package cacheproxy.limits;

/**
 * The bytes that are reserved for one peer, by purpose, and the number of its completed requests.
 * Opened by {@link ByteAccounts#open()}; used by the event loop's thread only.
 */
public final class ByteAccount {
  /**
   * Reservations of at most this many bytes always succeed, so that receipts, rejections and small
   * values, which cost next to nothing, get through while large values fill the capacity. With 16
   * pipelined requests each, all clients together exceed a bound by at most 16 KiB a connection.
   */
  public static final int ALWAYS_ADMITTED_BYTES = 1024;

  private final ByteAccounts accounts;

  /** Indexed by the ordinal: this is on the request path, where an EnumMap would box each sum. */
  private final long[] reservedBytes = new long[BufferPurpose.values().length];

  private long completedRequests;
  private boolean closed;

  ByteAccount(ByteAccounts accounts) {
    this.accounts = accounts;
  }

  /**
   * Reserves all of these bytes or none.
   *
   * @return false if the account is closed, or if more than {@link #ALWAYS_ADMITTED_BYTES} are
   *     asked for and would exceed the bound on what all peers may hold for this purpose
   */
  public boolean tryReserve(BufferPurpose purpose, int bytes) {
    if (closed) {
      return false;
    }
    if (bytes > ALWAYS_ADMITTED_BYTES && !accounts.hasCapacity(purpose, bytes)) {
      return false;
    }
    add(purpose, bytes);
    return true;
  }

  /**
   * Returns reserved bytes.
   *
   * @throws IllegalStateException if more is returned than this account has reserved, which would
   *     be another peer's
   */
  public void release(BufferPurpose purpose, long bytes) {
    long reserved = reservedBytes[purpose.ordinal()];
    if (bytes > reserved) {
      throw new IllegalStateException(
          "released "
              + bytes
              + " bytes of "
              + purpose
              + ", but only "
              + reserved
              + " are reserved");
    }
    add(purpose, -bytes);
  }

  /**
   * Sets the reservation to this many bytes, whether or not there is capacity: for bytes that have
   * been received already.
   */
  public void setReserved(BufferPurpose purpose, long bytes) {
    add(purpose, bytes - reservedBytes[purpose.ordinal()]);
  }

  private void add(BufferPurpose purpose, long bytes) {
    reservedBytes[purpose.ordinal()] += bytes;
    accounts.add(purpose, bytes);
  }

  /** Bytes reserved for this purpose. */
  public long reservedBytes(BufferPurpose purpose) {
    return reservedBytes[purpose.ordinal()];
  }

  /** Bytes reserved for all purposes. */
  public long totalReservedBytes() {
    long total = 0;
    for (long bytes : reservedBytes) {
      total += bytes;
    }
    return total;
  }

  /** Records that one more request of the peer has been answered. */
  public void requestCompleted() {
    completedRequests++;
  }

  /** Requests answered since the account was opened. */
  public long completedRequests() {
    return completedRequests;
  }

  /**
   * Ends the account of a peer that has disconnected. Later reservations fail; what is reserved
   * stays so until it is released.
   */
  public void close() {
    closed = true;
  }
}
