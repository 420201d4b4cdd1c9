package cacheproxy.proxy.discovery;

import cacheproxy.routing.RoutingApi.EndpointState;
import cacheproxy.routing.RoutingApi.Member;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;

/** Parses endpoint lists in the discovery service's JSON format. Stateless. */
final class EndpointListParser {
  private static final float DEFAULT_WEIGHT = 1;

  private final EndpointResolver resolver;
  private final Consumer<String> hostNames;

  /**
   * @param hostNames receives the name of each host whose entry is usable, even if a later entry
   *     makes the entire list unusable
   */
  EndpointListParser(EndpointResolver resolver, Consumer<String> hostNames) {
    this.resolver = resolver;
    this.hostNames = hostNames;
  }

  /**
   * Parses a response of the discovery service.
   *
   * @throws InvalidEndpointListException if a field is missing, has the wrong type or an unknown
   *     value, or a host is listed twice
   */
  EndpointList parse(JsonObject json) {
    List<Endpoint> endpoints = endpoints(json);
    try {
      boolean complete = json.get("whole").getAsBoolean();
      return new EndpointList(version(json), complete, endpoints);
    } catch (RuntimeException e) { // Gson throws several exception types
      throw invalid(e);
    }
  }

  /**
   * Parses only the version of the list.
   *
   * @throws InvalidEndpointListException if the version is missing or not a number
   */
  long version(JsonObject json) {
    try {
      return json.get("seq").getAsLong();
    } catch (RuntimeException e) { // Gson throws several exception types
      throw invalid(e);
    }
  }

  /**
   * Parses only the endpoints of the list.
   *
   * @throws InvalidEndpointListException if an endpoint is unusable or a host is listed twice
   */
  List<Endpoint> endpoints(JsonObject json) {
    try {
      List<Endpoint> endpoints = new ArrayList<>();
      Set<Integer> ids = new HashSet<>();
      for (JsonElement element : json.getAsJsonArray("hosts")) {
        JsonObject host = element.getAsJsonObject();
        Endpoint endpoint = endpoint(host);
        if (!ids.add(endpoint.member().id())) {
          throw new InvalidEndpointListException("a host is listed twice");
        }
        hostNames.accept(host.get("host").getAsString());
        endpoints.add(endpoint);
      }
      return endpoints;
    } catch (RuntimeException e) { // Gson throws several exception types
      throw invalid(e);
    }
  }

  private static InvalidEndpointListException invalid(RuntimeException cause) {
    return cause instanceof InvalidEndpointListException invalid
        ? invalid
        : new InvalidEndpointListException(cause);
  }

  private Endpoint endpoint(JsonObject host) {
    String name = host.get("host").getAsString();
    EndpointState state = state(name, host.get("health").getAsString());
    OptionalInt zone = resolver.zone(host.get("site").getAsString());
    OptionalInt kind = resolver.kind(host.get("class").getAsString());
    float weight = host.has("share") ? host.get("share").getAsFloat() : DEFAULT_WEIGHT;
    if (zone.isEmpty() || kind.isEmpty() || !(weight >= 0) || Float.isInfinite(weight)) {
      throw new InvalidEndpointListException(
          "host " + name + ": unknown site or class, or bad share");
    }
    double bornMs = host.has("born_ms") ? host.get("born_ms").getAsDouble() : 0;
    int cell = host.has("block") ? host.get("block").getAsInt() : 0;
    int id = Endpoint.memberId(name);
    return new Endpoint(
        new Member(id, zone.getAsInt(), kind.getAsInt(), cell, state, weight, bornMs),
        resolver.address(host.get("dial").getAsString()));
  }

  private static EndpointState state(String hostName, String health) {
    return switch (health) {
      case "up" -> EndpointState.READY;
      case "draining" -> EndpointState.DRAINING;
      case "removed" -> EndpointState.GONE;
      default -> throw new InvalidEndpointListException("host " + hostName + ": unknown health");
    };
  }
}
