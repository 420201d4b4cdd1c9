package cacheproxy.settings;

import java.util.List;

/** The keys of the table {@code [budget]}. The names in the file are part of its format. */
public final class OverloadKeys {
  /** Whether requests are rejected that the processor can't serve in time. */
  public static final FlagKey SHED_LOAD = new FlagKey("turn_away");

  /** The delay of the event loop from which on requests are rejected. */
  public static final NumberKey TARGET_DELAY_MS = new NumberKey("wait_ms", 1, 10_000);

  private OverloadKeys() {}

  static List<SettingKey> all() {
    return List.of(SHED_LOAD, TARGET_DELAY_MS);
  }
}
