package cacheproxy.settings;

import java.util.List;

/**
 * The keys of the table {@code [membership]} in the operator's file. Key names are part of the file
 * format and must not change.
 */
public final class MembershipKeys {
  /** Whether this proxy takes part in the tier's membership protocol. */
  public static final FlagKey ENABLED = new FlagKey("on");

  /** The probe interval: this proxy probes one other member per interval. */
  public static final NumberKey PERIOD_MS = new NumberKey("period_ms", 100, 60_000);

  /** How long a suspected member has to refute the suspicion before it is declared dead. */
  public static final NumberKey SUSPECT_MS = new NumberKey("suspect_ms", 500, 600_000);

  /** The maximum rate of membership messages to other members, in bytes per second. */
  public static final NumberKey BYTES_PER_SECOND = new NumberKey("bytes_per_s", 300, 1_000_000);

  private MembershipKeys() {}

  static List<SettingKey> all() {
    return List.of(ENABLED, PERIOD_MS, SUSPECT_MS, BYTES_PER_SECOND);
  }
}
