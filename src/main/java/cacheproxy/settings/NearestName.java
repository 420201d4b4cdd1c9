package cacheproxy.settings;

import java.util.Collection;
import java.util.TreeSet;

/** Suggests a known name for a misspelt one. */
final class NearestName {
  private NearestName() {}

  /**
   * Returns the name with the smallest edit distance to the word; of equally near names, the first
   * in alphabetical order.
   */
  static String of(String word, Collection<String> names) {
    String nearest = "";
    int leastDistance = Integer.MAX_VALUE;
    for (String name : new TreeSet<>(names)) {
      int distance = editDistance(word, name);
      if (distance < leastDistance) {
        leastDistance = distance;
        nearest = name;
      }
    }
    return nearest;
  }

  /** The Levenshtein distance, computed row by row. */
  private static int editDistance(String from, String to) {
    int[] row = new int[to.length() + 1];
    for (int column = 0; column < row.length; column++) {
      row[column] = column;
    }
    for (int i = 1; i <= from.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int column = 1; column < row.length; column++) {
        int above = row[column];
        int substitution = diagonal + (from.charAt(i - 1) == to.charAt(column - 1) ? 0 : 1);
        row[column] = Math.min(substitution, 1 + Math.min(above, row[column - 1]));
        diagonal = above;
      }
    }
    return row[to.length()];
  }
}
