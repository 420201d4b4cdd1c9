package cacheproxy.membership;

/** Numbers the probes of one process, from a random start. */
final class NonceSequence {
  private int last;

  NonceSequence(int start) {
    last = start;
  }

  int next() {
    return ++last;
  }
}
