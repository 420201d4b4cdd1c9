package cacheproxy.proxy.admin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorRouteTest {
  @ParameterizedTest
  @CsvSource({
    "/ops/readiness, READINESS, GET",
    "/ops/stats?since=1, METRICS, GET",
    "/ops/members, MEMBERSHIP_VIEW, GET",
    "/ops/shared, SHARED_STATE_VIEW, GET",
    "/ops/cache-nodes/down, EJECT_NODE, PUT",
    "/ops/cache-nodes/up?, REINSTATE_NODE, PUT"
  })
  void findsTheRouteOfAPathWhateverItsQuery(String target, OperatorRoute route, String method) {
    assertThat(OperatorRoute.ofTarget(target)).contains(route);
    assertThat(route.method()).isEqualTo(method);
  }

  @Test
  void findsNoRouteForAnotherPath() {
    assertThat(OperatorRoute.ofTarget("/ops/stats/")).isEmpty();
    assertThat(OperatorRoute.ofTarget("")).isEmpty();
  }
}
