package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class ResponseMemoryForecastTest {
  private static final int RESPONSE_BYTES = 1000;
  private static final long MAX_BYTES = 10L * RESPONSE_BYTES;

  private final ByteAccounts accounts =
      new ByteAccounts(Map.of(BufferPurpose.CLIENT_RESPONSE, MAX_BYTES));
  private final ResponseMemoryForecast forecast =
      new ResponseMemoryForecast(accounts, RESPONSE_BYTES);

  @Test
  void countsOpenRequestsByTheSizeOfEarlierResponses() {
    assertThat(forecast.hasCapacityForAnother(8)).isTrue();
    assertThat(forecast.hasCapacityForAnother(10)).isFalse();
  }

  @Test
  void followsTheSizeOfLaterResponses() {
    for (int i = 0; i < 100; i++) {
      forecast.recordResponse(2 * RESPONSE_BYTES);
    }
    assertThat(forecast.hasCapacityForAnother(8)).isFalse();
    for (int i = 0; i < 100; i++) {
      forecast.recordResponse(RESPONSE_BYTES);
    }
    assertThat(forecast.hasCapacityForAnother(8)).isTrue();
  }

  @Test
  void countsResponsesThatAreStored() {
    ByteAccount account = accounts.open();
    account.tryReserve(BufferPurpose.CLIENT_RESPONSE, 6 * RESPONSE_BYTES);
    assertThat(forecast.hasCapacityForAnother(2)).isTrue();
    assertThat(forecast.hasCapacityForAnother(4)).isFalse();
    account.release(BufferPurpose.CLIENT_RESPONSE, 6 * RESPONSE_BYTES);
    assertThat(forecast.hasCapacityForAnother(4)).isTrue();
  }
}
