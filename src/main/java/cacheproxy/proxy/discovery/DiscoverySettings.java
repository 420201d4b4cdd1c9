package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of the client of the discovery service, from the proxy's configuration.
 *
 * @param address address of the discovery service
 * @param configuredList the endpoint list in the configuration, in the service's JSON format; empty
 *     if the configuration has none
 * @param policyScheduled whether the routing policy decides when the list is polled or watched;
 *     otherwise the service pushes changes and the list is always watched
 * @param proxyCount number of proxies in the configuration
 * @param ownIndex index of this proxy among them
 * @param seed seed of the random waits and delays
 */
public record DiscoverySettings(
    InetSocketAddress address,
    Optional<JsonObject> configuredList,
    boolean policyScheduled,
    int proxyCount,
    int ownIndex,
    long seed) {}
