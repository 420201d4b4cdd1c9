package cacheproxy.proxy;

/** A configuration or operator's file that can't be used; the message is one line. */
final class InvalidConfigException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  InvalidConfigException(String message) {
    super(message);
  }

  InvalidConfigException(String message, Throwable cause) {
    super(message, cause);
  }
}
