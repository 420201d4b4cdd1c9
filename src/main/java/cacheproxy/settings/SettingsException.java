package cacheproxy.settings;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.util.Collection;

/**
 * An operator's file that can't be used. The message is one line for the operator: the file, the
 * table and key, the value, and what is allowed.
 */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** A longer quotation from the file is cut off. */
  private static final int MAX_QUOTE_LENGTH = 200;

  private SettingsException(String message) {
    super(message);
  }

  private SettingsException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The file can't be read. */
  static SettingsException unreadable(String file, IOException cause) {
    return new SettingsException(
        file + ": can't be read: " + cause.getClass().getSimpleName(), cause);
  }

  /** The file is no text. */
  static SettingsException notUtf8(String file, MalformedInputException cause) {
    return new SettingsException(file + ": not UTF-8", cause);
  }

  /** The file can't be parsed; the line quotes the parser. */
  static SettingsException notToml(String file, RuntimeException cause) {
    return new SettingsException(
        file + ": not TOML: " + oneLine(String.valueOf(cause.getMessage())), cause);
  }

  /** The file is longer than any that is meant as one. */
  static SettingsException tooLong(String file, long maxBytes) {
    return new SettingsException(file + ": longer than " + maxBytes + " bytes");
  }

  /** There is no such table. */
  static SettingsException unknownTable(String file, String name, Collection<String> known) {
    return new SettingsException(
        file
            + ": unknown table or key '"
            + oneLine(name)
            + "'; did you mean '"
            + NearestName.of(name, known)
            + "'?");
  }

  /** The name of a table holds a single value. */
  static SettingsException notATable(String file, String table) {
    return new SettingsException(file + ": '" + table + "' must be a table, [" + table + "]");
  }

  /** A table has no such key. */
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

  /** A value that is not allowed, by itself or together with others. */
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
