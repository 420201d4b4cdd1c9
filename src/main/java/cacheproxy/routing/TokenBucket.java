package cacheproxy.routing;

/**
 * A bucket of tokens that starts full; what fills it and who takes from it is decided elsewhere.
 */
final class TokenBucket {
  private final double capacity;
  private double tokens;

  TokenBucket(double capacity) {
    this.capacity = capacity;
    tokens = capacity;
  }

  /** Adds tokens, up to the bucket's capacity. */
  void add(double more) {
    tokens = Math.min(capacity, tokens + more);
  }

  /** Gives a token back; until the next {@link #add} there may be more than the capacity. */
  void refund() {
    tokens++;
  }

  boolean isEmpty() {
    return tokens < 1;
  }

  /** Takes a token if there is one. */
  boolean take() {
    if (isEmpty()) {
      return false;
    }
    tokens--;
    return true;
  }
}
