package cacheproxy.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The tables of the operator's file. Each has its name in the file and its keys. */
public enum TableSchema {
  /** Limits on connections, buffer memory and slow peers. */
  LIMITS("limits", LimitKeys.all()),
  /** Load shedding when the processor is overloaded. */
  OVERLOAD("budget", OverloadKeys.all()),
  /** The membership protocol between the proxies of a tier. */
  MEMBERSHIP("membership", MembershipKeys.all()),
  /** State that the proxies of a tier share. */
  SHARED_STATE("shared", SharedStateKeys.all());

  private final String tableName;

  @SuppressWarnings(
      "ImmutableEnumChecker") // immutable: List.of, and the keys are records of immutable values
  private final List<SettingKey> keys;

  TableSchema(String tableName, List<SettingKey> keys) {
    this.tableName = tableName;
    this.keys = keys;
  }

  /** Returns the name of the table in the file, without brackets. */
  public String tableName() {
    return tableName;
  }

  /** Returns all keys that the table may contain. */
  public List<SettingKey> keys() {
    return keys;
  }

  Optional<SettingKey> key(String keyName) {
    return keys.stream().filter(key -> key.name().equals(keyName)).findFirst();
  }

  static Optional<TableSchema> of(String tableName) {
    return Arrays.stream(values()).filter(schema -> schema.tableName.equals(tableName)).findFirst();
  }
}
