package cacheproxy.proxy.discovery;

/** An endpoint list, or an answer in place of one, that can't be used; says why in one line. */
final class InvalidEndpointListException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  InvalidEndpointListException(String message) {
    super(message);
  }

  InvalidEndpointListException(RuntimeException cause) {
    super(cause.getMessage(), cause);
  }
}
