package cacheproxy.settings;

import com.electronwill.nightconfig.core.Config;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Validates a parsed file against {@link TableSchema}. Stops at the first error. */
final class SettingsValidator {
  private final String file;

  /**
   * Creates a validator for one file.
   *
   * @param file the name of the file for error messages
   */
  SettingsValidator(String file) {
    this.file = file;
  }

  /**
   * Returns the validated tables. The map contains every table of the schema; a table that the file
   * does not contain is empty.
   */
  Map<TableSchema, SettingsTable> validate(Config toml) throws SettingsException {
    for (Config.Entry entry : toml.entrySet()) {
      if (TableSchema.of(entry.getKey()).isEmpty()) {
        throw SettingsException.unknownTable(
            file,
            entry.getKey(),
            Arrays.stream(TableSchema.values()).map(TableSchema::tableName).toList());
      }
    }
    Map<TableSchema, SettingsTable> tables = new EnumMap<>(TableSchema.class);
    for (TableSchema schema : TableSchema.values()) {
      Object content = toml.get(List.of(schema.tableName()));
      tables.put(schema, new SettingsTable(file, schema, validateTable(schema, content)));
    }
    return tables;
  }

  private Map<SettingKey, Object> validateTable(TableSchema schema, Object content)
      throws SettingsException {
    Map<SettingKey, Object> values = new HashMap<>();
    if (content == null) {
      return values;
    }
    if (!(content instanceof Config table)) {
      throw SettingsException.notATable(file, schema.tableName());
    }
    for (Config.Entry entry : table.entrySet()) {
      SettingKey key = validateKey(schema, entry.getKey());
      Object value = entry.getValue();
      if (!key.accepts(value)) {
        throw SettingsException.invalidValue(
            file, schema.tableName(), key.name(), value, key.allowed());
      }
      values.put(key, value);
    }
    return values;
  }

  private SettingKey validateKey(TableSchema schema, String name) throws SettingsException {
    Optional<SettingKey> key = schema.key(name);
    if (key.isEmpty()) {
      throw SettingsException.unknownKey(
          file, schema.tableName(), name, schema.keys().stream().map(SettingKey::name).toList());
    }
    return key.get();
  }
}
