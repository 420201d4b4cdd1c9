package cacheproxy.proxy;

/**
 * Thrown if the platform's configuration or the operator's file is invalid. The message is one
 * line.
 */
final class InvalidConfigException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String message) {
    super(message);
  }

  InvalidConfigException(String message, Throwable cause) {
    super(message, cause);
  }
}
