package cacheproxy.settings;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One table of an operator's file: the values that the file sets, all allowed by their keys.
 * Immutable. docs/settings.md explains each key.
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

  /** What the file sets in this table, a line for each key, in the order of the keys' names. */
  List<String> describe() {
    return values.entrySet().stream()
        .sorted(Comparator.comparing(entry -> entry.getKey().name()))
        .map(
            entry ->
                "[" + schema.tableName() + "] " + entry.getKey().name() + " = " + entry.getValue())
        .toList();
  }

  /** The number that the file sets; empty: it sets none. */
  public OptionalLong number(NumberKey key) {
    return valueOf(key) instanceof Number number
        ? OptionalLong.of(number.longValue())
        : OptionalLong.empty();
  }

  /** The number that the file sets, or else the default. */
  public long number(NumberKey key, long defaultValue) {
    return number(key).orElse(defaultValue);
  }

  /** The flag that the file sets, or else the default. */
  public boolean flag(FlagKey key, boolean defaultValue) {
    return valueOf(key) instanceof Boolean flag ? flag : defaultValue;
  }

  /** The error that a value is allowed by itself, but not together with others. */
  public SettingsException invalid(SettingKey key, String allowed) {
    return SettingsException.invalidValue(
        file, schema.tableName(), key.name(), valueOf(key), allowed);
  }

  private Object valueOf(SettingKey key) {
    if (!schema.keys().contains(key)) {
      throw new IllegalArgumentException(key.name() + " is not a key of " + schema);
    }
    return values.get(key);
  }
}
