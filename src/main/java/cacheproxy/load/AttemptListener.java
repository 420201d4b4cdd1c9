package cacheproxy.load;

/**
 * Observes each attempt as the simulated client sees it, so that a caller can compare it with what
 * the target recorded. Called on the generator's threads. Each attempt has a unique id.
 */
public interface AttemptListener {
  /** A listener that ignores all calls. */
  AttemptListener NONE =
      new AttemptListener() {
        @Override
        public void attemptSent(
            String id,
            int target,
            RequestClass requestClass,
            String idempotencyKey,
            double timeoutMs) {}

        @Override
        public void attemptEnded(
            String id, ClientRetryPolicy.AttemptOutcome outcome, boolean clientGaveUp) {}

        @Override
        public void connectionClosedWhileIdle(String id) {}
      };

  /**
   * Called just before the attempt is written to its connection.
   *
   * @param target index of the target address
   * @param idempotencyKey the idempotency key, or null if the request has none
   * @param timeoutMs time after which the client gives up this attempt
   */
  void attemptSent(
      String id, int target, RequestClass requestClass, String idempotencyKey, double timeoutMs);

  /**
   * Called when the attempt has ended.
   *
   * @param clientGaveUp true if the client closed the connection after its timeout
   */
  void attemptEnded(String id, ClientRetryPolicy.AttemptOutcome outcome, boolean clientGaveUp);

  /**
   * Called instead of {@link #attemptEnded} when the target closed a reused connection without
   * sending any byte of an answer. The target may have closed it as idle before the attempt
   * arrived, so the attempt counts as not received.
   */
  void connectionClosedWhileIdle(String id);
}
