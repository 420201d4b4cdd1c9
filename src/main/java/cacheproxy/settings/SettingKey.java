package cacheproxy.settings;

/**
 * A key of the operator's file and the values that it accepts. The unit of a value is part of the
 * key's name.
 */
public sealed interface SettingKey permits NumberKey, FlagKey {
  /** The name of the key in the file. */
  String name();

  /** A description of the accepted values for error messages. */
  String allowed();

  /** Returns whether the key accepts a value in the form that the TOML parser returns. */
  boolean accepts(Object value);
}
