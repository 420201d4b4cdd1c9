package cacheproxy.limits;

import java.util.EnumMap;
import java.util.Map;

/**
 * All configurable limits on connections, buffer memory and slow peers. {@link #of} derives the
 * defaults from the memory and the file descriptors that the platform grants; an operator may
 * override each limit (docs/limits.md). Immutable.
 *
 * @param maxConnections the total number of client connection slots
 * @param maxActiveClients the number of these slots that are meant for clients that send requests
 * @param requestValueBytes bound on the bytes of all clients' request values; a value counts until
 *     its request has completed
 * @param upstreamResponseBytes bound on the bytes of all incomplete responses of upstream servers
 * @param clientResponseBytes bound on the bytes of all responses that clients have not read yet
 * @param responseBytesPerClient bytes of unread responses of one client above which the proxy stops
 *     reading from that client
 * @param clientWriteRate the minimum rate at which a client must send a command that it has begun
 * @param clientReadRate the minimum rate at which a client must read pending responses
 * @param nodeResponseRate the minimum rate at which an upstream server must send a response that it
 *     has begun
 * @param silentMs how long a client may stay connected without sending anything, in milliseconds
 * @param sendBufferBytes the size of the socket send buffer of a client connection; the kernel may
 *     buffer about three times as much
 * @param evictIdle whether idle connections are evicted for expected new clients before slots are
 *     short
 * @param clientBackoff whether errors are delayed for addresses that reconnect immediately after a
 *     rejection
 */
public record Limits(
    int maxConnections,
    int maxActiveClients,
    long requestValueBytes,
    long upstreamResponseBytes,
    long clientResponseBytes,
    long responseBytesPerClient,
    MinimumRate clientWriteRate,
    MinimumRate clientReadRate,
    MinimumRate nodeResponseRate,
    double silentMs,
    int sendBufferBytes,
    boolean evictIdle,
    boolean clientBackoff) {

  /**
   * File descriptors used by the JVM, the listening socket, the discovery client and peer sockets.
   */
  private static final int OWN_DESCRIPTORS = 64;

  private static final int MIN_CONNECTIONS = 16;

  /** Upstream connections and active clients get a third of the file descriptors each. */
  private static final int DESCRIPTOR_DIVISOR = 3;

  private static final int LARGE_MEMORY_MB = 96;
  private static final int LARGE_MEMORY_DIVISOR = 16;
  private static final int MEDIUM_MEMORY_MB = 64;
  private static final int MEDIUM_MEMORY_DIVISOR = 26;
  private static final int SMALL_MEMORY_DIVISOR = 32;
  private static final int BYTES_PER_MB_BITS = 20;

  /**
   * The longest response: a value of 1 MiB and its head. With a smaller bound such a response would
   * always be rejected.
   */
  private static final long MAX_RESPONSE_BYTES = (1 << 20) + (16 << 10);

  /**
   * Clients of the platform send a command line within 2 s. At this rate, a value of 64 KiB takes
   * at most 6 s more. This protects connection slots against clients that send one byte at a time.
   * The drawback is that a client on a slower network link is disconnected.
   */
  private static final MinimumRate CLIENT_WRITE_RATE = new MinimumRate(16 << 10, 2200);

  /**
   * Clients abandon a request after about 1 s, so a response that is not read within the grace is
   * useless.
   */
  private static final MinimumRate CLIENT_READ_RATE = new MinimumRate(16 << 10, 3000);

  /**
   * An upstream server writes a response without pauses. A response that stalls for longer than the
   * grace is treated as malformed: it has a wrong length, lacks a line end or is sent byte by byte.
   * The drawback is that a healthy server that pauses this long within a response loses it, which
   * costs the request one of its attempts.
   */
  private static final MinimumRate NODE_RESPONSE_RATE = new MinimumRate(512 << 10, 150);

  private static final double SILENT_MS = 2200;
  private static final long RESPONSE_BYTES_PER_CLIENT = 256 << 10;

  /**
   * By default the kernel buffers up to 4 MiB for a client that reads nothing. The client's read
   * rate would then show nothing about the client, and the buffered bytes would not be counted in
   * any {@link ByteAccount}. With this setting the kernel buffers about 380 KiB. The drawback is
   * that a longer response takes more iterations of the event loop.
   */
  private static final int SEND_BUFFER_BYTES = 128 << 10;

  /**
   * Derives the default limits from those of the platform.
   *
   * @param memoryMb memory that the process may use, in MiB
   * @param sockets file descriptors that the process may open
   */
  public static Limits of(int memoryMb, int sockets) {
    long purposeBytes = purposeBytes(memoryMb);
    int third = sockets / DESCRIPTOR_DIVISOR;
    return new Limits(
        Math.max(MIN_CONNECTIONS, sockets - third - OWN_DESCRIPTORS),
        third,
        purposeBytes,
        purposeBytes / 2,
        purposeBytes,
        Math.min(RESPONSE_BYTES_PER_CLIENT, purposeBytes),
        CLIENT_WRITE_RATE,
        CLIENT_READ_RATE,
        NODE_RESPONSE_RATE,
        SILENT_MS,
        SEND_BUFFER_BYTES,
        true,
        true);
  }

  /**
   * Returns the bytes for one group of purposes: a quarter of the direct memory that
   * deploy/serve.sh gives the JVM. One quarter each is for request values, for client responses and
   * for unprocessed input. Streamed values and incomplete upstream responses share the fourth, half
   * each. Larger bounds would lead to an OutOfMemoryError, which would disconnect the peer that
   * happens to be read next.
   */
  private static long purposeBytes(int memoryMb) {
    int divisor = SMALL_MEMORY_DIVISOR;
    if (memoryMb >= LARGE_MEMORY_MB) {
      divisor = LARGE_MEMORY_DIVISOR;
    } else if (memoryMb >= MEDIUM_MEMORY_MB) {
      divisor = MEDIUM_MEMORY_DIVISOR;
    }
    return Math.max(MAX_RESPONSE_BYTES, ((long) memoryMb << BYTES_PER_MB_BITS) / divisor);
  }

  /**
   * Returns the bounds on the bytes that all peers together may reserve for each purpose. Bytes
   * that the proxy has already received are counted even where they exceed a bound.
   */
  public Map<BufferPurpose, Long> bounds() {
    Map<BufferPurpose, Long> bounds = new EnumMap<>(BufferPurpose.class);
    bounds.put(BufferPurpose.REQUEST_VALUE, requestValueBytes);
    bounds.put(BufferPurpose.UPSTREAM_RESPONSE, upstreamResponseBytes);
    bounds.put(
        BufferPurpose.STREAMING, Math.max(StreamingWindow.MIN_WINDOW_BYTES, upstreamResponseBytes));
    bounds.put(BufferPurpose.CLIENT_RESPONSE, clientResponseBytes);
    bounds.put(BufferPurpose.INPUT, requestValueBytes);
    return bounds;
  }
}
