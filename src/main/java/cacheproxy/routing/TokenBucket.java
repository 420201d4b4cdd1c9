package cacheproxy.routing;

/** A token bucket that starts full. Callers decide when tokens are added and taken. */
final class TokenBucket {
  private final double capacity;
  private double tokens;

  TokenBucket(double capacity) {
    this.capacity = capacity;
    tokens = capacity;
  }

  /** Adds tokens, up to the capacity of the bucket. */
  void add(double more) {
    tokens = Math.min(capacity, tokens + more);
  }

  /**
   * Returns a token that was taken. The bucket may exceed its capacity until the next {@link #add}.
   */
  void refund() {
    tokens++;
  }

  boolean isEmpty() {
    return tokens < 1;
  }

  /** Takes a token; returns false if the bucket holds less than one. */
  boolean take() {
    if (isEmpty()) {
      return false;
    }
    tokens--;
    return true;
  }
}
