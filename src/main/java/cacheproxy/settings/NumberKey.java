package cacheproxy.settings;

/**
 * A key that holds a whole number.
 *
 * @param name as written in the file
 * @param min the least allowed number
 * @param max the greatest allowed number
 */
public record NumberKey(String name, long min, long max) implements SettingKey {
  @Override
  public String allowed() {
    return "a whole number from " + min + " to " + max;
  }

  @Override
  public boolean accepts(Object value) {
    if (!(value instanceof Integer || value instanceof Long)) {
      return false;
    }
    long number = ((Number) value).longValue();
    return number >= min && number <= max;
  }
}
