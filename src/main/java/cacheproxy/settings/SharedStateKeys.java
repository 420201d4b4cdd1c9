package cacheproxy.settings;

import java.util.List;

/** The keys of the table {@code [shared]}. The names in the file are part of its format. */
public final class SharedStateKeys {
  /** Whether this proxy shares state with its tier. */
  public static final FlagKey ENABLED = new FlagKey("on");

  /** Whether health verdicts on cache nodes are exchanged. */
  public static final FlagKey HEALTH_VERDICTS = new FlagKey("judgements");

  /** Whether the proxies of a tier share the slow-start quota of a node. */
  public static final FlagKey SLOW_START_QUOTA = new FlagKey("cold_rights");

  /** Bytes a second that are sent to other proxies. */
  public static final NumberKey BYTES_PER_SECOND = new NumberKey("bytes_per_s", 300, 1_000_000);

  private SharedStateKeys() {}

  static List<SettingKey> all() {
    return List.of(ENABLED, HEALTH_VERDICTS, SLOW_START_QUOTA, BYTES_PER_SECOND);
  }
}
