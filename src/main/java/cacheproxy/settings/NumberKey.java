package cacheproxy.settings;

/**
 * A key of the operator's file whose value is a whole number.
 *
 * @param name the name of the key in the file
 * @param min the smallest allowed number
 * @param max the largest allowed number
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
