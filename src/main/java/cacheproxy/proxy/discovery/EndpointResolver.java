package cacheproxy.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.OptionalInt;

/** Reads the names and addresses in an endpoint list by the proxy's configuration. */
public interface EndpointResolver {
  /** The number of the zone with this name; empty: the configuration has no such zone. */
  OptionalInt zone(String site);

  /** The number of the kind of hosts with this name; empty: the configuration has no such kind. */
  OptionalInt kind(String hostClass);

  /**
   * Parses a literal address with its port.
   *
   * @throws IllegalArgumentException if the text is none
   */
  InetSocketAddress address(String text);
}
