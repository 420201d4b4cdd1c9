package cacheproxy.simulator;

/**
 * Input of the simulator, or settings, that can't be used; the message says what is wrong and
 * where. The proxy prints this class's name with the message where its configuration is rejected,
 * so operators know the name.
 */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }

  WireException(String message, Throwable cause) {
    super(message, cause);
  }
}
