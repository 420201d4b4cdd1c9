package cacheproxy.proxy.admin;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the proxy's metrics with a time limit. If the proxy's event loop does not respond in time,
 * the last metrics document that it produced is returned instead. Confined to the operator server's
 * event loop.
 */
final class LatestMetrics {
  /**
   * The time limit for a new document. Callers time out after 1 s, so this leaves time to send the
   * response.
   */
  private static final long MAX_WAIT_MS = 600;

  private final EventLoop loop;
  private final ProxyOperations.JsonSource source;
  private String latest = "{}\n";

  LatestMetrics(EventLoop loop, ProxyOperations.JsonSource source) {
    this.loop = loop;
    this.source = source;
  }

  /**
   * Passes the new document to the receiver when it arrives, and the latest document known when the
   * time limit expires. The receiver is called on the event loop, usually twice, and has to ignore
   * the second call.
   */
  void read(Consumer<String> receiver) {
    loop.schedule(() -> receiver.accept(latest), MAX_WAIT_MS, TimeUnit.MILLISECONDS);
    source.read(json -> loop.execute(() -> receive(json, receiver)));
  }

  private void receive(String json, Consumer<String> receiver) {
    latest = json;
    receiver.accept(json);
  }
}
