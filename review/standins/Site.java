package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small site: cache nodes, an origin, discovery and one proxy. */
public final class Site implements AutoCloseable {
  private static final int CACHE_NODES = 4;

  /** What a cache node does with a read. */
  public interface NodeBehaviour {
    /**
     * Decides on the reply.
     *
     * @param node the node's number, from 1
     */
    CacheNode.Reply reply(int node, CacheNode.Read read);
  }

  private final Path folder = Files.createTempDirectory("review");
  private final List<Server> servers = new ArrayList<>();
  private final ProxyProcess proxy;

  /** Starts a site with an origin that carries out each request in so many milliseconds. */
  public Site(RunRecord record, Settings settings, long originWorkMs, NodeBehaviour nodes)
      throws Exception {
    this(record, settings, new Origin(record, originWorkMs), nodes);
  }

  /** Starts a site with this origin. */
  public Site(RunRecord record, Settings settings, Server origin, NodeBehaviour nodes)
      throws Exception {
    List<String> entries = new ArrayList<>();
    for (int i = 1; i <= CACHE_NODES; i++) {
      int number = i;
      CacheNode node = new CacheNode("node " + i, record, read -> nodes.reply(number, read));
      servers.add(node);
      entries.add(entry("s-" + i, node.address(), settings.zone(), settings.kind()));
    }
    servers.add(origin);
    entries.add(entry("s-ff", origin.address(), settings.zone(), "origin"));
    Discovery discovery = new Discovery(String.join(",", entries));
    servers.add(discovery);
    proxy =
        new ProxyProcess(record, folder, discovery.address(), discovery.wholeList(), settings);
  }

  private static String entry(String host, String address, String zone, String kind) {
    return """
        {"host":"%s","dial":"%s","site":"%s","class":"%s","block":0,"health":"up","share":1.0,"born_ms":0}"""
        .formatted(host, address, zone, kind);
  }

  public ProxyProcess proxy() {
    return proxy;
  }

  @Override
  public void close() throws IOException {
    proxy.close();
    for (Server server : servers) {
      server.close();
    }
    try (Stream<Path> paths = Files.walk(folder)) {
      paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(file -> file.delete());
    }
  }
}
