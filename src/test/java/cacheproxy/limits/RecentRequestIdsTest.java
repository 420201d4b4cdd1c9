package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
  @Test
  void anIdIsKeptForItsTimeAndFromEachRepetitionOn() {
    RecentRequestIds ids = new RecentRequestIds(100, 10);
    ids.add(0, "a");
    ids.add(50, "b");
    ids.add(90, "a");
    assertThat(ids.contains(149, "b")).isTrue();
    assertThat(ids.contains(150, "b")).isFalse();
    assertThat(ids.contains(189, "a")).isTrue();
    assertThat(ids.contains(190, "a")).isFalse();
    ids.add(190, "c");
    assertThat(ids.size()).isEqualTo(1);
  }

  @Test
  void theOldestIdIsForgottenWhenThereAreTooMany() {
    RecentRequestIds ids = new RecentRequestIds(100, 2);
    ids.add(0, "a");
    ids.add(1, "b");
    ids.add(2, "a");
    ids.add(3, "c");
    assertThat(ids.contains(3, "b")).isFalse();
    assertThat(ids.contains(3, "a")).isTrue();
    assertThat(ids.contains(3, "c")).isTrue();
    assertThat(ids.size()).isEqualTo(2);
  }

  @Test
  void boundsMustBePositive() {
    assertThatThrownBy(() -> new RecentRequestIds(0, 1)).hasMessageContaining("must be positive");
    assertThatThrownBy(() -> new RecentRequestIds(1, 0)).hasMessageContaining("must be positive");
  }
}
