package cacheproxy.settings;

/**
 * One key of a table with what it may hold. Its unit stands in its name.
 *
 * @param name as in the file
 * @param flag whether it holds true or false; else a whole number
 * @param least the least number
 * @param most the greatest number
 */
record Key(String name, boolean flag, long least, long most) {
  static Key number(String name, long least, long most) {
    return new Key(name, false, least, most);
  }

  static Key flag(String name) {
    return new Key(name, true, 0, 1);
  }

  /** What it may hold, in words. */
  String allowed() {
    return flag ? "true or false" : "a whole number from " + least + " to " + most;
  }

  boolean takes(Object value) {
    if (flag) {
      return value instanceof Boolean;
    }
    return (value instanceof Integer || value instanceof Long)
        && ((Number) value).longValue() >= least
        && ((Number) value).longValue() <= most;
  }
}
