package cacheproxy.settings;

import java.util.List;

/** The keys of the table {@code [membership]}. The names in the file are part of its format. */
public final class MembershipKeys {
  /** Whether this proxy takes part in membership. */
  public static final FlagKey ENABLED = new FlagKey("on");

  /** One member is probed in each period. */
  public static final NumberKey PERIOD_MS = new NumberKey("period_ms", 100, 60_000);

  /** How long a suspected member has to refute the suspicion. */
  public static final NumberKey SUSPECT_MS = new NumberKey("suspect_ms", 500, 600_000);

  /** Bytes a second that are sent to other members. */
  public static final NumberKey BYTES_PER_SECOND = new NumberKey("bytes_per_s", 300, 1_000_000);

  private MembershipKeys() {}

  static List<SettingKey> all() {
    return List.of(ENABLED, PERIOD_MS, SUSPECT_MS, BYTES_PER_SECOND);
  }
}
