package cacheproxy.proxy;

import java.util.OptionalLong;

/**
 * When requests are rejected as the processor can't serve them in time.
 *
 * @param enabled false: all requests are admitted
 * @param targetDelayMs the delay of the event loop from which on requests are rejected; empty: it
 *     follows from the latency objectives of the service classes
 */
record LoadShedding(boolean enabled, OptionalLong targetDelayMs) {
  static final LoadShedding DISABLED = new LoadShedding(false, OptionalLong.empty());
  static final LoadShedding BY_LATENCY_OBJECTIVES = new LoadShedding(true, OptionalLong.empty());

  static LoadShedding withTargetDelayMs(long targetDelayMs) {
    return new LoadShedding(true, OptionalLong.of(targetDelayMs));
  }
}
