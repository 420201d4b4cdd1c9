package cacheproxy.settings;

/**
 * A key of the operator's file whose value is true or false.
 *
 * @param name the name of the key in the file
 */
public record FlagKey(String name) implements SettingKey {
  @Override
  public String allowed() {
    return "true or false";
  }

  @Override
  public boolean accepts(Object value) {
    return value instanceof Boolean;
  }
}
