package cacheproxy.settings;

import java.util.List;

/**
 * The keys of the table {@code [limits]} in the operator's file. Key names are part of the file
 * format and must not change.
 */
public final class LimitKeys {
  private static final long KIB = 1L << 10;
  private static final long MIB = 1L << 20;
  private static final long GIB = 1L << 30;
  private static final long MIN_PERIOD_MS = 10;
  private static final long MAX_PERIOD_MS = 600_000;

  /** The maximum number of simultaneous client connections. */
  public static final NumberKey MAX_CLIENT_CONNECTIONS = new NumberKey("places", 16, 1_000_000);

  /** The number of client connections that are meant for clients that send requests. */
  public static final NumberKey MAX_ACTIVE_CLIENTS = new NumberKey("clients_room", 1, 1_000_000);

  /**
   * Bound on the bytes of all clients' request values; a value counts until its request has
   * completed.
   */
  public static final NumberKey REQUEST_VALUE_BYTES =
      new NumberKey("client_values_bytes", 64 * KIB, GIB);

  /** Bound on the bytes of all incomplete responses of cache nodes and origin servers. */
  public static final NumberKey INCOMPLETE_RESPONSE_BYTES =
      new NumberKey("node_reading_bytes", 64 * KIB, GIB);

  /** Bound on the bytes of responses that clients have not read yet, for all clients together. */
  public static final NumberKey UNREAD_RESPONSE_BYTES =
      new NumberKey("client_answers_bytes", 64 * KIB, GIB);

  /**
   * Bytes of unread responses of one client above which the proxy stops reading from that client.
   */
  public static final NumberKey UNREAD_RESPONSE_BYTES_PER_CLIENT =
      new NumberKey("one_client_answers_bytes", 16 * KIB, GIB);

  /** The minimum rate at which a client must send a command that it has begun. */
  public static final MinimumRateKeys CLIENT_WRITE = rate("client_write");

  /** The minimum rate at which a client must read pending responses. */
  public static final MinimumRateKeys CLIENT_READ = rate("client_read");

  /**
   * The minimum rate at which a cache node or origin server must send a response that it has begun.
   */
  public static final MinimumRateKeys NODE_RESPONSE = rate("node_answer");

  /** How long a client may stay connected without sending anything. */
  public static final NumberKey SILENT_MS =
      new NumberKey("silent_ms", MIN_PERIOD_MS, MAX_PERIOD_MS);

  /** The size of the socket send buffer of a client connection. */
  public static final NumberKey SEND_BUFFER_BYTES =
      new NumberKey("send_buffer_bytes", 4 * KIB, 64 * MIB);

  /** Whether idle connections are closed to admit new clients before connection slots are short. */
  public static final FlagKey EVICT_IDLE = new FlagKey("show_out_idle");

  /** Whether clients that reconnect immediately after a rejection are delayed. */
  public static final FlagKey CLIENT_BACKOFF = new FlagKey("hold_off");

  private LimitKeys() {}

  /**
   * The two keys that set a minimum rate.
   *
   * @param bytesPerSecond the key of the rate
   * @param graceMs the key of the time deficit that a peer may accumulate against the rate
   */
  public record MinimumRateKeys(NumberKey bytesPerSecond, NumberKey graceMs) {}

  private static MinimumRateKeys rate(String prefix) {
    return new MinimumRateKeys(
        new NumberKey(prefix + "_bytes_per_s", 1, GIB),
        new NumberKey(prefix + "_grace_ms", MIN_PERIOD_MS, MAX_PERIOD_MS));
  }

  static List<SettingKey> all() {
    return List.of(
        MAX_CLIENT_CONNECTIONS,
        MAX_ACTIVE_CLIENTS,
        REQUEST_VALUE_BYTES,
        INCOMPLETE_RESPONSE_BYTES,
        UNREAD_RESPONSE_BYTES,
        UNREAD_RESPONSE_BYTES_PER_CLIENT,
        CLIENT_WRITE.bytesPerSecond(),
        CLIENT_WRITE.graceMs(),
        CLIENT_READ.bytesPerSecond(),
        CLIENT_READ.graceMs(),
        NODE_RESPONSE.bytesPerSecond(),
        NODE_RESPONSE.graceMs(),
        SILENT_MS,
        SEND_BUFFER_BYTES,
        EVICT_IDLE,
        CLIENT_BACKOFF);
  }
}
