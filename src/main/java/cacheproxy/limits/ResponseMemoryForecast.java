package cacheproxy.limits;

/**
 * Estimates whether the responses of all open requests will fit into the memory for client
 * responses. Their size is not known before they have been fetched, so a moving average of earlier
 * ones is used. Without the estimate, a response that does not fit is fetched and then rejected.
 * Not thread-safe: used only on the event loop thread.
 */
public final class ResponseMemoryForecast {
  /** The weight of a response in the average, which so follows some sixteen responses. */
  private static final double RESPONSE_WEIGHT = 1.0 / 16;

  private final ByteAccounts accounts;
  private double averageBytes;

  /**
   * Creates a forecast.
   *
   * @param accounts the accounts whose memory is forecast
   * @param initialBytes the size that is expected before any response, in bytes
   */
  public ResponseMemoryForecast(ByteAccounts accounts, int initialBytes) {
    this.accounts = accounts;
    averageBytes = initialBytes;
  }

  /** Records the size of a response that a server has given, in bytes. */
  public void recordResponse(int bytes) {
    averageBytes += (bytes - averageBytes) * RESPONSE_WEIGHT;
  }

  /**
   * Returns whether one more response is expected to fit.
   *
   * @param expectedResponses the number of other responses that need memory as well
   */
  public boolean hasCapacityForAnother(int expectedResponses) {
    long expectedBytes = (long) ((expectedResponses + 1) * averageBytes);
    return accounts.hasCapacity(BufferPurpose.CLIENT_RESPONSE, expectedBytes);
  }
}
