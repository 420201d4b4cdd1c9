package cacheproxy.limits;

/**
 * The bytes reserved for one peer (a client or an upstream server), by purpose, and the number of
 * requests that the proxy has completed for it. Opened by {@link ByteAccounts#open()}. Not
 * thread-safe: used only on the event loop thread.
 */
public final class ByteAccount {
  /**
   * Reservations of at most this many bytes always succeed on an open account, so that
   * acknowledgements, error responses and small values are still delivered while large values use
   * up the capacity. A client has at most 16 pipelined requests, so a bound is exceeded by at most
   * 16 KiB per connection.
   */
  public static final int ALWAYS_ADMITTED_BYTES = 1024;

  private final ByteAccounts accounts;

  /**
   * Indexed by the ordinal of the purpose. An EnumMap would box a number for each reservation on
   * the request path.
   */
  private final long[] reservedBytes = new long[BufferPurpose.values().length];

  private long completedRequests;
  private boolean closed;

  ByteAccount(ByteAccounts accounts) {
    this.accounts = accounts;
  }

  /**
   * Reserves all of the bytes, or none of them.
   *
   * @return false if the account is closed, or if {@code bytes} is more than {@link
   *     #ALWAYS_ADMITTED_BYTES} and would exceed the bound on the sum of all peers' reservations
   *     for this purpose
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
   * Releases bytes that were reserved before.
   *
   * @throws IllegalStateException if {@code bytes} is more than this account has reserved for the
   *     purpose. The surplus would be taken from the reservations of another peer.
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
   * Sets the reservation to this many bytes even if that exceeds the bound. Used for bytes that the
   * proxy has already received.
   */
  public void setReserved(BufferPurpose purpose, long bytes) {
    add(purpose, bytes - reservedBytes[purpose.ordinal()]);
  }

  private void add(BufferPurpose purpose, long bytes) {
    reservedBytes[purpose.ordinal()] += bytes;
    accounts.add(purpose, bytes);
  }

  /** Returns the bytes that this peer has reserved for the purpose. */
  public long reservedBytes(BufferPurpose purpose) {
    return reservedBytes[purpose.ordinal()];
  }

  /** Returns the bytes that this peer has reserved for all purposes together. */
  public long totalReservedBytes() {
    long total = 0;
    for (long bytes : reservedBytes) {
      total += bytes;
    }
    return total;
  }

  /** Increments the number of requests that the proxy has completed for this peer. */
  public void requestCompleted() {
    completedRequests++;
  }

  /** Returns the number of requests completed since the account was opened. */
  public long completedRequests() {
    return completedRequests;
  }

  /**
   * Closes the account of a peer that has disconnected. Later reservations fail, and bytes that are
   * already reserved stay reserved until they are released.
   */
  public void close() {
    closed = true;
  }
}
