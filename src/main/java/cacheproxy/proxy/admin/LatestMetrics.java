package cacheproxy.proxy.admin;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the proxy's metrics within a bound in time: where the proxy's event loop is late, the last
 * document that it produced is given. Confined to the operator server's event loop.
 */
final class LatestMetrics {
  /** Callers wait for a second; this leaves them time to get the response. */
  private static final long MAX_WAIT_MS = 600;

  private final EventLoop loop;
  private final ProxyOperations.JsonSource source;
  private String latest = "{}\n";

  LatestMetrics(EventLoop loop, ProxyOperations.JsonSource source) {
    this.loop = loop;
    this.source = source;
  }

  /** Calls the receiver on the event loop, a second time where the new document came too late. */
  void read(Consumer<String> receiver) {
    loop.schedule(() -> receiver.accept(latest), MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    source.read(json -> loop.execute(() -> receive(json, receiver)));
  }

  private void receive(String json, Consumer<String> receiver) {
    latest = json;
    receiver.accept(json);
  }
}
