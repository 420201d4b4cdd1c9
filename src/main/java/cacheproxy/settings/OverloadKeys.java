package cacheproxy.settings;

import java.util.List;

/**
 * The keys of the table {@code [budget]} in the operator's file. Key names are part of the file
 * format and must not change.
 */
public final class OverloadKeys {
  /** Whether the proxy rejects requests that the processor can't serve in time. */
  public static final FlagKey SHED_LOAD = new FlagKey("turn_away");

  /** The delay of the event loop above which requests are rejected. */
  public static final NumberKey TARGET_DELAY_MS = new NumberKey("wait_ms", 1, 10_000);

  private OverloadKeys() {}

  static List<SettingKey> all() {
    return List.of(SHED_LOAD, TARGET_DELAY_MS);
  }
}
