package cacheproxy.site;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Network paths from proxies to the site, which can be cut for each proxy on its own. While a path
 * is cut, the site does not read from its connections and holds back its writes; both resume when
 * the path is restored, as with TCP retransmission, and no connection is closed. Unlike on a real
 * network, new connections are still accepted by the operating system, but then carry no data. Used
 * on the site's event loop only.
 */
final class NetworkPaths {
  /** Destination of a path: the cache nodes and the origin, or discovery. */
  enum Destination {
    NODES,
    LISTS
  }

  private record ProxyPath(int proxy, Destination destination) {}

  private final Map<ProxyPath, List<Runnable>> heldWrites = new HashMap<>();
  private final Map<ProxyPath, Set<Channel>> openChannels = new HashMap<>();

  private static ProxyPath pathOf(Channel channel, Destination destination) {
    return new ProxyPath(Loopback.proxyAt((InetSocketAddress) channel.localAddress()), destination);
  }

  void register(Channel channel, Destination destination) {
    ProxyPath path = pathOf(channel, destination);
    Set<Channel> all = openChannels.computeIfAbsent(path, w -> new LinkedHashSet<>());
    all.add(channel);
    channel.closeFuture().addListener(f -> all.remove(channel));
    if (heldWrites.containsKey(path)) {
      channel.config().setAutoRead(false);
    }
  }

  /**
   * Runs a write at once, or when the path is restored if it is cut. A cut path holds at most
   * 100,000 writes and drops further ones.
   */
  void writeOrHold(Channel channel, Destination destination, Runnable write) {
    List<Runnable> waiting = heldWrites.get(pathOf(channel, destination));
    if (waiting == null) {
      write.run();
    } else if (waiting.size() < 100_000) {
      waiting.add(write);
    }
  }

  void setCut(int proxy, Destination destination, boolean isCut) {
    ProxyPath path = new ProxyPath(proxy, destination);
    if (isCut) {
      heldWrites.putIfAbsent(path, new ArrayList<>());
    }
    List<Runnable> waiting = isCut ? null : heldWrites.remove(path);
    openChannels.getOrDefault(path, Set.of()).forEach(c -> c.config().setAutoRead(!isCut));
    if (waiting != null) {
      waiting.forEach(Runnable::run);
    }
  }
}
