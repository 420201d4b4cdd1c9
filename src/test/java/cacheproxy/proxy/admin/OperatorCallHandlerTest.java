package cacheproxy.proxy.admin;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operators' calls on an embedded channel, with a fake proxy that records the ejected nodes. */
class OperatorCallHandlerTest {
  /** A fake proxy. Its metrics call gets no response while {@link #metricsLate} is set. */
  private static final class RecordingProxy implements ProxyOperations {
    private boolean metricsLate;
    private Set<String> ejectedNodes = Set.of();

    @Override
    public boolean isReady() {
      return false;
    }

    @Override
    public JsonSource metrics() {
      return receiver -> {
        if (!metricsLate) {
          receiver.accept("{\"sends\":1}\n");
        }
      };
    }

    @Override
    public Optional<JsonSource> membershipView() {
      return Optional.of(receiver -> receiver.accept("{\"view\":1}\n"));
    }

    @Override
    public Optional<JsonSource> sharedStateView() {
      return Optional.empty();
    }

    @Override
    public boolean isKnownNode(String node) {
      return true;
    }

    @Override
    public void setEjectedNodes(Set<String> nodes, Runnable whenApplied) {
      ejectedNodes = nodes;
      whenApplied.run();
    }

    @Override
    public ProcessStatus status() {
      return ProcessStatus.STARTING;
    }

    @Override
    public void onOtherProcessStatus(ProcessStatus other) {}
  }

  @TempDir Path directory;

  private final RecordingProxy proxy = new RecordingProxy();

  private static EmbeddedChannel request(
      EmbeddedChannel channel, HttpMethod method, String path, String body) {
    channel.writeInbound(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            method,
            path,
            Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII)));
    channel.runPendingTasks();
    return channel;
  }

  /** Returns the status code and the body of the response. */
  private static String response(EmbeddedChannel channel) {
    FullHttpResponse response = channel.readOutbound();
    try {
      return response.status().code() + " " + response.content().toString(StandardCharsets.UTF_8);
    } finally {
      response.release();
    }
  }

  private String call(SharedFolder folder, HttpMethod method, String path, String body) {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel
        .pipeline()
        .addLast(
            new OperatorCallHandler(
                proxy, new LatestMetrics(channel.eventLoop(), proxy.metrics()), folder));
    String response = response(request(channel, method, path, body));
    assertThat(channel.isOpen()).as("connection open after the response").isFalse();
    return response;
  }

  @Test
  void respondsServiceUnavailableWhileNotReady() throws IOException {
    assertThat(call(new UnsharedFolder(), HttpMethod.GET, "/ops/readiness", ""))
        .isEqualTo("503 not ready\n");
  }

  @Test
  void respondsWithTheMembershipView() {
    assertThat(call(new UnsharedFolder(), HttpMethod.GET, "/ops/members", ""))
        .isEqualTo("200 {\"view\":1}\n");
  }

  @Test
  void rejectsAndRevertsAnEjectionAboveTheLimit() {
    UnsharedFolder folder = new UnsharedFolder();
    for (int i = 0; i < ManualEjectionLog.MAX_EJECTED; i++) {
      folder.append("s-" + i, ManualEjectionLog.Action.EJECT);
    }
    assertThat(call(folder, HttpMethod.PUT, "/ops/cache-nodes/down", "t-1"))
        .isEqualTo("507 too many are out\n");
    assertThat(proxy.ejectedNodes).hasSize(ManualEjectionLog.MAX_EJECTED).doesNotContain("t-1");
    assertThat(call(folder, HttpMethod.PUT, "/ops/cache-nodes/up", "s-1"))
        .isEqualTo("200 s-1 is in use\n");
    assertThat(call(folder, HttpMethod.PUT, "/ops/cache-nodes/down", "t-1"))
        .isEqualTo("200 t-1 is out\n");
  }

  @Test
  void changesNothingWhenTheCallCannotBeStored() throws IOException {
    Path lost = Files.createDirectory(directory.resolve("lost"));
    try (SharedFolder folder = SharedFolder.open(Optional.of(lost))) {
      Files.delete(lost.resolve("damsonworks.slots"));
      Files.delete(lost.resolve("cacheproxy.requests"));
      Files.delete(lost);
      assertThat(call(folder, HttpMethod.PUT, "/ops/cache-nodes/down", "s-1"))
          .startsWith("500 the call can't be kept: ");
    }
    assertThat(proxy.ejectedNodes).isEmpty();
  }

  @Test
  void respondsWithTheLastMetricsWhenNewOnesAreLate() {
    EmbeddedChannel first = new EmbeddedChannel();
    first.freezeTime();
    LatestMetrics metrics = new LatestMetrics(first.eventLoop(), proxy.metrics());
    first.pipeline().addLast(new OperatorCallHandler(proxy, metrics, new UnsharedFolder()));
    assertThat(response(request(first, HttpMethod.GET, "/ops/stats", "")))
        .isEqualTo("200 {\"sends\":1}\n");

    proxy.metricsLate = true;
    EmbeddedChannel late = new EmbeddedChannel();
    late.pipeline().addLast(new OperatorCallHandler(proxy, metrics, new UnsharedFolder()));
    request(late, HttpMethod.GET, "/ops/stats", "");
    assertThat(late.<FullHttpResponse>readOutbound())
        .as("response before the time limit for new metrics")
        .isNull();
    first.advanceTimeBy(600, TimeUnit.MILLISECONDS);
    first.runScheduledPendingTasks();
    late.runPendingTasks();
    assertThat(response(late)).isEqualTo("200 {\"sends\":1}\n");
  }
}
