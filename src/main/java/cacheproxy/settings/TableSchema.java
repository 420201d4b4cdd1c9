package cacheproxy.settings;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The tables of the operator's file, each with its name in the file and its keys. */
public enum TableSchema {
  /** Bounds on connections, memory and slow peers. */
  LIMITS("limits", LimitKeys.all()),
  /** Protection from overload. */
  OVERLOAD("budget", OverloadKeys.all()),
  /** Membership of the tier of proxies. */
  MEMBERSHIP("membership", MembershipKeys.all()),
  /** State that the proxies of a tier share. */
  SHARED_STATE("shared", SharedStateKeys.all());

  private final String tableName;

  @SuppressWarnings("ImmutableEnumChecker") // made by List.of, and keys are records of plain values
  private final List<SettingKey> keys;

  TableSchema(String tableName, List<SettingKey> keys) {
    this.tableName = tableName;
    this.keys = keys;
  }

  /** As written in the file, without brackets. */
  public String tableName() {
    return tableName;
  }

  /** All keys that the table may hold. */
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
