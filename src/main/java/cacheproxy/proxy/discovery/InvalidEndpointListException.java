package cacheproxy.proxy.discovery;

/**
 * Thrown if the discovery service or the configuration gives no usable endpoint list. The message
 * is a single log line with the reason.
 */
final class InvalidEndpointListException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  InvalidEndpointListException(String message) {
    super(message);
  }

  InvalidEndpointListException(RuntimeException cause) {
    super(cause.getMessage(), cause);
  }
}
