package cacheproxy.load;

/**
 * What was asked for can't be done; the message is one line that says what is wrong and what is
 * allowed.
 */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  public UsageException(String message) {
    super(message, null, false, false);
  }
}
