package cacheproxy.settings;

/**
 * A settings file that can't be used; the message is one line with file, key, value and what is
 * allowed.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  public SettingsException(String message) {
    super(message, null, false, false);
  }
}
