package cacheproxy.settings;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One table of an operator's file: the validated values that the file sets for its keys.
 * docs/settings.md explains each key. Immutable.
 */
public final class SettingsTable {
  private final String file;
  private final TableSchema schema;
  private final Map<SettingKey, Object> values;

  SettingsTable(String file, TableSchema schema, Map<SettingKey, Object> values) {
    this.file = file;
    this.schema = schema;
    this.values = Map.copyOf(values);
  }

  /** Returns a line for each key that the file sets in this table, sorted by key name. */
  List<String> describe() {
    return values.entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().name()))
        .map(
            entry ->
                "[" + schema.tableName() + "] " + entry.getKey().name() + " = " + entry.getValue())
        .toList();
  }

  /** Returns the number that the file sets for the key, or empty if it sets none. */
  public OptionalLong number(NumberKey key) {
    return valueOf(key) instanceof Number number
        ? OptionalLong.of(number.longValue())
        : OptionalLong.empty();
  }

  /** Returns the number that the file sets for the key, or the default if it sets none. */
  public long number(NumberKey key, long defaultValue) {
    return number(key).orElse(defaultValue);
  }

  /** Returns the flag that the file sets for the key, or the default if it sets none. */
  public boolean flag(FlagKey key, boolean defaultValue) {
    return valueOf(key) instanceof Boolean flag ? flag : defaultValue;
  }

  /**
   * Returns the exception for a value that its key accepts, but that conflicts with other values or
   * with the platform's limits.
   */
  public SettingsException invalid(SettingKey key, String allowed) {
    return SettingsException.invalidValue(
        file, schema.tableName(), key.name(), valueOf(key), allowed);
  }

  private Object valueOf(SettingKey key) {
    if (!schema.keys().contains(key)) {
      throw new IllegalArgumentException(key.name() + " is not a key of the table " + schema);
    }
    return values.get(key);
  }
}
