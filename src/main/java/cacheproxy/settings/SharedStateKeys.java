package cacheproxy.settings;

import java.util.List;

/**
 * The keys of the table {@code [shared]} in the operator's file. Key names are part of the file
 * format and must not change.
 */
public final class SharedStateKeys {
  /** Whether this proxy shares state with the other proxies of its tier. */
  public static final FlagKey ENABLED = new FlagKey("on");

  /** Whether the proxies of a tier exchange health verdicts on cache nodes. */
  public static final FlagKey HEALTH_VERDICTS = new FlagKey("judgements");

  /** Whether the proxies of a tier share one slow-start quota for each cache node. */
  public static final FlagKey SLOW_START_QUOTA = new FlagKey("cold_rights");

  /** The maximum rate of shared-state messages to other proxies, in bytes per second. */
  public static final NumberKey BYTES_PER_SECOND = new NumberKey("bytes_per_s", 300, 1_000_000);

  private SharedStateKeys() {}

  static List<SettingKey> all() {
    return List.of(ENABLED, HEALTH_VERDICTS, SLOW_START_QUOTA, BYTES_PER_SECOND);
  }
}
