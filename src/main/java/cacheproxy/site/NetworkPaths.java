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
 * The ways from proxies to the site, which may be cut for one proxy and not for another. What is
 * written on a cut way comes when it is open again, as TCP would bring it; nothing is closed.
 * Unlike on a real wire a new connection still comes up, as the system accepts it, and then says
 * nothing. On the site's loop; bounded by the connections there are.
 */
final class NetworkPaths {
  /** Where a way leads. */
  enum To {
    NODES,
    LISTS
  }

  private record Way(int proxy, To to) {}

  private final Map<Way, List<Runnable>> cut = new HashMap<>();
  private final Map<Way, Set<Channel>> open = new HashMap<>();

  private static Way way(Channel channel, To to) {
    return new Way(Loopback.proxyAt((InetSocketAddress) channel.localAddress()), to);
  }

  void enter(Channel channel, To to) {
    Way way = way(channel, to);
    Set<Channel> all = open.computeIfAbsent(way, w -> new LinkedHashSet<>());
    all.add(channel);
    channel.closeFuture().addListener(f -> all.remove(channel));
    if (cut.containsKey(way)) {
      channel.config().setAutoRead(false);
    }
  }

  /** Now, or when the way is open again. */
  void pass(Channel channel, To to, Runnable write) {
    List<Runnable> waiting = cut.get(way(channel, to));
    if (waiting == null) {
      write.run();
    } else if (waiting.size() < 100_000) {
      waiting.add(write);
    }
  }

  void set(int proxy, To to, boolean isCut) {
    Way way = new Way(proxy, to);
    if (isCut) {
      cut.putIfAbsent(way, new ArrayList<>());
    }
    List<Runnable> waiting = isCut ? null : cut.remove(way);
    open.getOrDefault(way, Set.of()).forEach(c -> c.config().setAutoRead(!isCut));
    if (waiting != null) {
      waiting.forEach(Runnable::run);
    }
  }
}
