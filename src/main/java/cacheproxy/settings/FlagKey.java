package cacheproxy.settings;

/**
 * A key that holds true or false.
 *
 * @param name as written in the file
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
