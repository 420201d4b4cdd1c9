package cacheproxy.proxy.discovery;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * What the configuration says of the discovery service.
 *
 * @param address of the service
 * @param configuredList the endpoint list of the configuration, in the service's form
 * @param polled whether the routing policy decides when the list is polled or watched; otherwise
 *     the service pushes changes and is watched all the time
 * @param proxies how many proxies the configuration names
 * @param ownNumber this proxy's number among them
 * @param seed of the random waits
 */
public record DiscoverySettings(
    InetSocketAddress address,
    Optional<JsonObject> configuredList,
    boolean polled,
    int proxies,
    int ownNumber,
    long seed) {}
