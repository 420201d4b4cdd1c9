package cacheproxy.proxy;

import java.util.OptionalLong;

/**
 * Configures whether and from which delay of the event loop requests are rejected because the
 * processor can't serve them in time.
 *
 * @param enabled whether requests may be rejected; if false, all requests are admitted
 * @param targetDelayMs the delay of the event loop above which requests are rejected, in
 *     milliseconds; if empty, it is derived from the latency objectives of the service classes
 */
record LoadShedding(boolean enabled, OptionalLong targetDelayMs) {
  static final LoadShedding DISABLED = new LoadShedding(false, OptionalLong.empty());
  static final LoadShedding BY_LATENCY_OBJECTIVES = new LoadShedding(true, OptionalLong.empty());

  static LoadShedding withTargetDelayMs(long targetDelayMs) {
    return new LoadShedding(true, OptionalLong.of(targetDelayMs));
  }
}
