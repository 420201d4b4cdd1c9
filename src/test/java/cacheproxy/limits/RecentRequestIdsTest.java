package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

class RecentRequestIdsTest {
  private static final int RETENTION_MS = 100;

  /** What a proxy is offered at most of such requests within the retention of a process. */
  private static final int REQUESTS = 2000;

  private final ByteBuffer table = ByteBuffer.allocate(RecentRequestIds.TABLE_BYTES);
  private final RecentRequestIds ids = new RecentRequestIds(table, RETENTION_MS);

  @Test
  void anIdIsKeptForItsTimeAndFromEachRepetitionOn() {
    ids.add(0, "a");
    ids.add(50, "b");
    ids.add(90, "a");
    assertThat(ids.contains(149, "b")).isTrue();
    assertThat(ids.contains(150, "b")).isFalse();
    assertThat(ids.contains(189, "a")).isTrue();
    assertThat(ids.contains(190, "a")).isFalse();
    assertThat(ids.contains(0, "c")).isFalse();
  }

  @Test
  void anIdThatWasNotExecutedIsRemoved() {
    ids.add(0, "a");
    ids.remove("a");
    ids.remove("unknown");
    assertThat(ids.contains(1, "a")).isFalse();
  }

  @Test
  void theOtherProcessSeesTheIds() {
    RecentRequestIds other = new RecentRequestIds(table.duplicate(), RETENTION_MS);
    ids.add(0, "a");
    assertThat(other.contains(1, "a")).isTrue();
    other.remove("a");
    assertThat(ids.contains(1, "a")).isFalse();
  }

  @Test
  void noneOfManyIdsIsForgottenAndNoneIsMistaken() {
    for (int i = 0; i < REQUESTS; i++) {
      ids.add(0, "id" + i);
    }
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(ids.contains(1, "id" + i)).isTrue();
      assertThat(ids.contains(1, "another" + i)).isFalse();
    }
  }

  @Test
  void theOldestIdsAreForgottenWhenThereAreTooMany() {
    for (int i = 0; i < 100_000; i++) {
      ids.add(i, "id" + i);
    }
    ids.add(100_000, "last");
    assertThat(ids.contains(100_001, "last")).isTrue();
    assertThat(ids.contains(100_001, "id0")).isFalse();
  }

  @Test
  void tableAndTimeMustBeLargeEnough() {
    assertThatThrownBy(() -> new RecentRequestIds(table, 0)).hasMessageContaining("too small");
    assertThatThrownBy(() -> new RecentRequestIds(ByteBuffer.allocate(16), 1))
        .hasMessageContaining("16 bytes");
  }
}
