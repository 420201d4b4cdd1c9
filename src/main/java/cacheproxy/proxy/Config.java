package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.membership.Timing;
import cacheproxy.proxy.discovery.DiscoverySettings;
import cacheproxy.proxy.peers.PeerSocket;
import cacheproxy.routing.RoutingApi.Settings;
import cacheproxy.shared.SharedStateSettings;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The configuration of a proxy, from the platform's file and the operator's file. Immutable.
 *
 * @param name the name of this proxy
 * @param listen the address on which the proxy listens for clients
 * @param discovery the address of the discovery service
 * @param seed the seed of the random number generators
 * @param cores the number of processors that this proxy may use; may be fractional
 * @param memoryMb the memory that this proxy may use, in MiB
 * @param sockets the number of file descriptors that this proxy may use
 * @param peerListen the address on which datagrams of other proxies arrive; null if proxies
 *     exchange no messages
 * @param peers the addresses of all proxies of the tier including this one, indexed by proxy number
 * @param allPeersAddress an address that reaches all other proxies of the tier; null if there is
 *     none
 * @param configuredEndpointList the endpoint list that the configuration contains; null if it
 *     contains none
 * @param settings the settings of the routing module
 * @param zones the names of the zones
 * @param kinds the names of the host classes
 * @param idleCloseMs the time after which upstream servers close idle connections, in milliseconds
 * @param streamsPerConnection the maximum number of requests in flight on a connection to a cache
 *     node; 1 or more
 * @param control the address on which the proxy serves operators' calls; null if it serves none
 * @param sharedFolder a folder that another process of this proxy may use too, as during a
 *     takeover; null if there is none
 * @param options the options that the operator's file may override
 */
record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    double cores,
    int memoryMb,
    int sockets,
    InetSocketAddress peerListen,
    List<InetSocketAddress> peers,
    InetSocketAddress allPeersAddress,
    JsonObject configuredEndpointList,
    Settings settings,
    List<String> zones,
    List<String> kinds,
    double idleCloseMs,
    int streamsPerConnection,
    InetSocketAddress control,
    Path sharedFolder,
    OperatorOptions options) {

  /**
   * The value of {@link #sheddingTargetDelayMs} if the delay is derived from the latency
   * objectives.
   */
  private static final double DELAY_FROM_LATENCY_OBJECTIVES = -1;

  /**
   * Reads the platform's configuration file.
   *
   * @throws InvalidConfigException if the file can't be read or is invalid; the message is one line
   */
  static Config read(String path) {
    return ConfigParser.read(path);
  }

  /**
   * Returns the configuration from a parsed JSON document.
   *
   * @throws RuntimeException if the document is not a valid configuration
   */
  static Config parse(JsonObject json) {
    return ConfigParser.parse(json);
  }

  /** Returns a copy of this configuration with other operator options. */
  Config with(OperatorOptions otherOptions) {
    return new Config(
        name,
        listen,
        discovery,
        seed,
        cores,
        memoryMb,
        sockets,
        peerListen,
        peers,
        allPeersAddress,
        configuredEndpointList,
        settings,
        zones,
        kinds,
        idleCloseMs,
        streamsPerConnection,
        control,
        sharedFolder,
        otherOptions);
  }

  /** Returns the limits on connections, buffer memory and slow peers. */
  Limits limits() {
    return options.limits();
  }

  /**
   * Returns the delay of the event loop above which requests are rejected, in milliseconds. It is 0
   * if load shedding is disabled, and negative if the delay is derived from the latency objectives.
   */
  double sheddingTargetDelayMs() {
    LoadShedding loadShedding = options.loadShedding();
    if (!loadShedding.enabled()) {
      return 0;
    }
    return loadShedding.targetDelayMs().isPresent()
        ? loadShedding.targetDelayMs().getAsLong()
        : DELAY_FROM_LATENCY_OBJECTIVES;
  }

  /** Returns the timing of the membership protocol, or null if this proxy is not a member. */
  Timing membershipTiming() {
    return options.membership().orElse(null);
  }

  /**
   * Returns the settings of the state that this proxy shares with its tier, or null if it shares
   * none.
   */
  SharedStateSettings sharedStateSettings() {
    return options.sharedState().orElse(null);
  }

  /**
   * Returns the settings of the discovery client: the source of the endpoint list and whether it
   * polls or watches it.
   */
  DiscoverySettings discoverySettings() {
    return new DiscoverySettings(
        discovery,
        Optional.ofNullable(configuredEndpointList),
        settings.pollsEndpointList(),
        peers.size(),
        settings.instanceIndex(),
        seed);
  }

  /**
   * Returns the addresses for messages between proxies. The listening address is empty if the
   * settings allow no such messages.
   */
  PeerSocket.Addresses peerAddresses() {
    return new PeerSocket.Addresses(
        settings.peers() ? Optional.ofNullable(peerListen) : Optional.empty(),
        peers,
        Optional.ofNullable(allPeersAddress),
        settings.instanceIndex(),
        control != null);
  }
}
