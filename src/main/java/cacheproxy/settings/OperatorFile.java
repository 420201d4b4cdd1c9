package cacheproxy.settings;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The operator's file: TOML with one table for each subsystem. A file with any error is rejected
 * completely. Immutable.
 */
public final class OperatorFile {
  /**
   * An operator's file has a few kilobytes. A file longer than this is rejected as a mistake
   * without being parsed.
   */
  private static final long MAX_BYTES = 1 << 20;

  private final Map<TableSchema, SettingsTable> tables;

  private OperatorFile(Map<TableSchema, SettingsTable> tables) {
    this.tables = tables;
  }

  /** Returns a table of the file; a table that the file does not contain sets no values. */
  public SettingsTable table(TableSchema schema) {
    return tables.get(schema);
  }

  /** Returns all tables, sorted by name. */
  List<SettingsTable> tables() {
    return tables.entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().tableName()))
        .map(Map.Entry::getValue)
        .toList();
  }

  /**
   * Reads and validates a file.
   *
   * @throws SettingsException if the file can't be read or is invalid; the message is one line for
   *     the operator
   */
  public static OperatorFile read(Path path) throws SettingsException {
    return new OperatorFile(new SettingsValidator(path.toString()).validate(parse(path)));
  }

  private static Config parse(Path path) throws SettingsException {
    String file = path.toString();
    try {
      if (Files.size(path) > MAX_BYTES) {
        throw SettingsException.tooLong(file, MAX_BYTES);
      }
      return new TomlParser().parse(Files.readString(path));
    } catch (MalformedInputException e) {
      throw SettingsException.notUtf8(file, e);
    } catch (IOException e) {
      throw SettingsException.unreadable(file, e);
    } catch (ParsingException e) {
      throw SettingsException.notToml(file, e);
    }
  }
}
