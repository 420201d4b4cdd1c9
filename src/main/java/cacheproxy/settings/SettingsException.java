package cacheproxy.settings;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.util.Collection;

/**
 * Thrown if an operator's file can't be read or is invalid. The message is one line for the
 * operator; for an invalid value it names the file, the table, the key, the value and the accepted
 * values.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Longer quotations from the file are truncated to this length. */
  private static final int MAX_QUOTE_LENGTH = 200;

  private SettingsException(String message) {
    super(message);
  }

  private SettingsException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Returns the exception for a file that can't be read. */
  static SettingsException unreadable(String file, IOException cause) {
    return new SettingsException(
        file + ": can't be read: " + cause.getClass().getSimpleName(), cause);
  }

  /** Returns the exception for a file that is not UTF-8 text. */
  static SettingsException notUtf8(String file, MalformedInputException cause) {
    return new SettingsException(file + ": not UTF-8", cause);
  }

  /** Returns the exception for a file that is not valid TOML; the message quotes the parser's. */
  static SettingsException notToml(String file, RuntimeException cause) {
    return new SettingsException(
        file + ": not TOML: " + oneLine(String.valueOf(cause.getMessage())), cause);
  }

  /** Returns the exception for a file that is longer than the allowed size. */
  static SettingsException tooLong(String file, long maxBytes) {
    return new SettingsException(file + ": longer than " + maxBytes + " bytes");
  }

  /**
   * Returns the exception for a table or top-level key that does not exist; suggests a known table.
   */
  static SettingsException unknownTable(String file, String name, Collection<String> known) {
    return new SettingsException(
        file
            + ": unknown table or key '"
            + oneLine(name)
            + "'; did you mean '"
            + NearestName.of(name, known)
            + "'?");
  }

  /** Returns the exception for a table name that is used as the key of a plain value. */
  static SettingsException notATable(String file, String table) {
    return new SettingsException(file + ": '" + table + "' must be a table, [" + table + "]");
  }

  /** Returns the exception for a key that the table does not have; suggests a known key. */
  static SettingsException unknownKey(
      String file, String table, String name, Collection<String> known) {
    return new SettingsException(
        file
            + ": ["
            + table
            + "] unknown key '"
            + oneLine(name)
            + "'; did you mean '"
            + NearestName.of(name, known)
            + "'?");
  }

  /**
   * Returns the exception for a value that its key does not accept, or that conflicts with other
   * values.
   */
  static SettingsException invalidValue(
      String file, String table, String key, Object value, String allowed) {
    return new SettingsException(
        file
            + ": ["
            + table
            + "] "
            + key
            + " = "
            + oneLine(String.valueOf(value))
            + ": must be "
            + allowed);
  }

  private static String oneLine(String text) {
    String line = text.replaceAll("[\\r\\n]+", " ");
    return line.length() > MAX_QUOTE_LENGTH ? line.substring(0, MAX_QUOTE_LENGTH) : line;
  }
}
