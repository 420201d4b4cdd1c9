package cacheproxy.limits;

import java.util.EnumMap;
import java.util.Map;

/**
 * All configurable limits. {@link #of} derives the defaults from the memory and the descriptors
 * that the platform grants; an operator may set each of them (docs/limits.md). Immutable.
 *
 * @param maxConnections connection slots of clients
 * @param maxActiveClients how many of them are for clients that send requests
 * @param requestValueBytes clients' values until their requests have completed
 * @param upstreamResponseBytes upstream responses that are not complete yet
 * @param clientResponseBytes responses that clients have not read yet
 * @param responseBytesPerClient the same of one client, above which it is no longer read
 * @param clientWriteRate the minimum rate of a client within a command
 * @param clientReadRate the minimum rate of a client with unread responses
 * @param nodeResponseRate the minimum rate of an upstream server within a response
 * @param silentMs how long a client may be connected and send nothing, in milliseconds
 * @param sendBufferBytes the system's buffer for one client's responses, which may hold some three
 *     times as much
 * @param evictIdle whether idle connections are evicted for new clients before slots are short
 * @param clientBackoff whether addresses that reconnect at once after a rejection are delayed
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

  /** Descriptors of the JVM, the listening socket, discovery and peers. */
  private static final int OWN_DESCRIPTORS = 64;

  private static final int MIN_CONNECTIONS = 16;

  /** Upstream connections and active clients have a third of the descriptors each. */
  private static final int DESCRIPTOR_DIVISOR = 3;

  private static final int LARGE_MEMORY_MB = 96;
  private static final int LARGE_MEMORY_DIVISOR = 16;
  private static final int MEDIUM_MEMORY_MB = 64;
  private static final int MEDIUM_MEMORY_DIVISOR = 26;
  private static final int SMALL_MEMORY_DIVISOR = 32;
  private static final int BYTES_PER_MB_BITS = 20;

  /** The longest response, 1 MiB with its head: with less capacity it would never fit. */
  private static final long MAX_RESPONSE_BYTES = (1 << 20) + (16 << 10);

  /**
   * Any client of the platform writes a command within 2 s, and a value of 64 KiB within 6 s more
   * at this rate. Protects connection slots against clients that write a byte at a time; a client
   * on a slower line is disconnected.
   */
  private static final MinimumRate CLIENT_WRITE_RATE = new MinimumRate(16 << 10, 2200);

  /** Clients give requests up after about a second: a response unread by then is of no use. */
  private static final MinimumRate CLIENT_READ_RATE = new MinimumRate(16 << 10, 3000);

  /**
   * A server writes a response in one go, so one that stops for this long within is malformed: a
   * wrong length, a line without end, a trickle. A node that pauses for longer within a response
   * loses it, and the request one of its attempts.
   */
  private static final MinimumRate NODE_RESPONSE_RATE = new MinimumRate(512 << 10, 150);

  private static final double SILENT_MS = 2200;
  private static final long RESPONSE_BYTES_PER_CLIENT = 256 << 10;

  /**
   * By default the system buffers up to 4 MiB for a client that reads nothing: its rate would mean
   * nothing, and memory outside of the accounts would be held for each. With this it buffers some
   * 380 KiB. A longer response takes more iterations of the loop.
   */
  private static final int SEND_BUFFER_BYTES = 128 << 10;

  /**
   * Derives the limits from those of the platform.
   *
   * @param memoryMb memory of the process in MiB
   * @param sockets descriptors of the process
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
   * The bytes for one bounded purpose: a quarter of the direct memory that deploy/serve.sh gives
   * the JVM. Request values, upstream responses and client responses have one each; the last
   * quarter is for unprocessed input. Streamed values and upstream responses share theirs, half
   * each. More would end in an OutOfMemoryError, which disconnects whoever is read next.
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
   * The bounds on what all peers together may reserve by purpose. Bytes that have been received
   * already are counted and not rejected.
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
