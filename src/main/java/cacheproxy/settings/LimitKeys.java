package cacheproxy.settings;

import java.util.List;

/** The keys of the table {@code [limits]}. The names in the file are part of its format. */
public final class LimitKeys {
  private static final long KIB = 1L << 10;
  private static final long MIB = 1L << 20;
  private static final long GIB = 1L << 30;
  private static final long MIN_PERIOD_MS = 10;
  private static final long MAX_PERIOD_MS = 600_000;

  /** Client connections at one time. */
  public static final NumberKey MAX_CLIENT_CONNECTIONS = new NumberKey("places", 16, 1_000_000);

  /** How many of these are meant for clients that send requests. */
  public static final NumberKey MAX_ACTIVE_CLIENTS = new NumberKey("clients_room", 1, 1_000_000);

  /** Clients' values until their requests are over. */
  public static final NumberKey REQUEST_VALUE_BYTES =
      new NumberKey("client_values_bytes", 64 * KIB, GIB);

  /** Incomplete responses of nodes. */
  public static final NumberKey INCOMPLETE_RESPONSE_BYTES =
      new NumberKey("node_reading_bytes", 64 * KIB, GIB);

  /** Responses that clients have not read yet, of all clients. */
  public static final NumberKey UNREAD_RESPONSE_BYTES =
      new NumberKey("client_answers_bytes", 64 * KIB, GIB);

  /** Responses that one client has not read yet. */
  public static final NumberKey UNREAD_RESPONSE_BYTES_PER_CLIENT =
      new NumberKey("one_client_answers_bytes", 16 * KIB, GIB);

  /** Minimum rate of a client within a command. */
  public static final MinimumRateKeys CLIENT_WRITE = rate("client_write");

  /** Minimum rate of a client that has responses to read. */
  public static final MinimumRateKeys CLIENT_READ = rate("client_read");

  /** Minimum rate of a node within a response. */
  public static final MinimumRateKeys NODE_RESPONSE = rate("node_answer");

  /** How long a client may be connected without sending anything. */
  public static final NumberKey SILENT_MS =
      new NumberKey("silent_ms", MIN_PERIOD_MS, MAX_PERIOD_MS);

  /** The system's send buffer for one client. */
  public static final NumberKey SEND_BUFFER_BYTES =
      new NumberKey("send_buffer_bytes", 4 * KIB, 64 * MIB);

  /** Whether idle connections are closed to admit new ones. */
  public static final FlagKey EVICT_IDLE = new FlagKey("show_out_idle");

  /** Whether clients that reconnect at once after a rejection have to wait. */
  public static final FlagKey CLIENT_BACKOFF = new FlagKey("hold_off");

  private LimitKeys() {}

  /**
   * The two keys of a minimum rate.
   *
   * @param bytesPerSecond the rate
   * @param graceMs how far a peer may fall behind it
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
