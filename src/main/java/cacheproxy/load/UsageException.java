package cacheproxy.load;

/**
 * Thrown for invalid command-line arguments or input files. The message is a single line that names
 * the invalid value and the allowed values.
 */
public final class UsageException extends Exception {
  private static final long serialVersionUID = 1L;

  public UsageException(String message) {
    super(message, null, false, false);
  }
}
