package cacheproxy.membership;

/** Generates the nonces of one process's probes: consecutive numbers from a random start. */
final class NonceSequence {
  private int last;

  NonceSequence(int start) {
    last = start;
  }

  int next() {
    return ++last;
  }
}
