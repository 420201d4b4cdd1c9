package cacheproxy.admin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MetricsTest {
  @Test
  void writesExpectedJson() {
    Metrics metrics = new Metrics(List.of("read", "a\"\n"));
    metrics.requestEnded(0, Metrics.Result.SERVED);
    metrics.requestEnded(1, Metrics.Result.REJECTED);
    metrics.requestEnded(1, Metrics.Result.FAILED);
    metrics.attemptSent();
    assertThat(metrics.toJson(new Metrics.Gauges(1, 2, 3, 4, 5)))
        .isEqualTo(
            "{\"answered\":{\"read\":1,\"a\\\"\\u000a\":0},"
                + "\"deferred\":{\"read\":0,\"a\\\"\\u000a\":1},"
                + "\"errored\":{\"read\":0,\"a\\\"\\u000a\":1},"
                + "\"sends\":1,\"current\":1,\"cluster_size\":2,\"cluster_unhealthy\":3,"
                + "\"conf_loaded\":4,\"conf_invalid\":5,\"ambiguous_rejections\":0}\n");
  }
}
