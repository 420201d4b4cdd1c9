package cacheproxy.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.OptionalInt;

/** Resolves the zone names, kind names and addresses in an endpoint list. */
public interface EndpointResolver {
  /** Returns the index of the zone with this name; empty if the configuration has no such zone. */
  OptionalInt zone(String site);

  /**
   * Returns the index of the kind of hosts with this name; empty if the configuration has no such
   * kind.
   */
  OptionalInt kind(String hostClass);

  /**
   * Parses a literal IP address and port.
   *
   * @throws IllegalArgumentException if the text is not a valid address
   */
  InetSocketAddress address(String text);
}
