package cacheproxy.settings;

/** A key of the operator's file with the values that it allows. Its unit stands in its name. */
public sealed interface SettingKey permits NumberKey, FlagKey {
  /** As written in the file. */
  String name();

  /** The allowed values in words, as error lines tell them. */
  String allowed();

  /** Whether a value, as the TOML parser gives it, is allowed. */
  boolean accepts(Object value);
}
