package cacheproxy.proxy;

import cacheproxy.proxy.discovery.DiscoveryContext;
import cacheproxy.proxy.discovery.Endpoint;
import cacheproxy.proxy.discovery.EndpointListener;
import cacheproxy.proxy.discovery.EndpointResolver;
import cacheproxy.routing.RoutingApi.ListKind;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalInt;

/**
 * Gives the discovery client access to the dispatcher and resolves the configured zone and kind
 * names.
 */
record DiscoveryAdapter(Dispatcher dispatcher, Config config)
    implements DiscoveryContext, EndpointListener, EndpointResolver {
  @Override
  public double nowMs() {
    return dispatcher.now();
  }

  @Override
  public Timer schedule(double delayMs, Runnable task) {
    return dispatcher.after(delayMs, task)::stop;
  }

  @Override
  public void log(String line) {
    dispatcher.log(line);
  }

  @Override
  public void onEndpointList(ListKind kind, List<Endpoint> endpoints) {
    dispatcher.onEndpointList(kind, endpoints);
  }

  @Override
  public OptionalInt zone(String site) {
    return indexOf(config.zones(), site);
  }

  @Override
  public OptionalInt kind(String hostClass) {
    return indexOf(config.kinds(), hostClass);
  }

  @Override
  public InetSocketAddress address(String text) {
    return ConfigParser.address(text);
  }

  private static OptionalInt indexOf(List<String> names, String name) {
    int index = names.indexOf(ConfigParser.escapeName(name));
    return index < 0 ? OptionalInt.empty() : OptionalInt.of(index);
  }
}
