package cacheproxy.settings;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The operator's file, TOML with a table for each subsystem. It is right as a whole or not used at
 * all, and loaded only where the command line names one.
 */
public final class OperatorFile {
  /** A file of settings is some kilobytes long; what is longer is something else. */
  private static final long MAX_BYTES = 1 << 20;

  private final Map<String, Table> tables;

  private OperatorFile(Map<String, Table> tables) {
    this.tables = tables;
  }

  public Table limits() {
    return tables.get(Table.LIMITS);
  }

  public Table budget() {
    return tables.get(Table.BUDGET);
  }

  public Table membership() {
    return tables.get(Table.MEMBERSHIP);
  }

  public Table shared() {
    return tables.get(Table.SHARED);
  }

  /** All there are, in the order of their names. */
  Collection<Table> tables() {
    return new TreeMap<>(tables).values();
  }

  /** Reads and checks the file. */
  public static OperatorFile read(Path path) throws SettingsException {
    String file = path.toString();
    Config all;
    try {
      if (Files.size(path) > MAX_BYTES) {
        throw new SettingsException(file + ": longer than " + MAX_BYTES + " bytes");
      }
      all = new TomlParser().parse(Files.readString(path));
    } catch (MalformedInputException e) {
      throw new SettingsException(file + ": not UTF-8");
    } catch (IOException e) {
      throw new SettingsException(
          file + ": can't be read: " + oneLine(e.getClass().getSimpleName()));
    } catch (ParsingException e) {
      throw new SettingsException(file + ": not TOML: " + oneLine(String.valueOf(e.getMessage())));
    }
    for (Config.Entry e : all.entrySet()) {
      if (!Table.KEYS.containsKey(e.getKey())) {
        throw new SettingsException(
            file
                + ": unknown table or key '"
                + oneLine(e.getKey())
                + "'; did you mean '"
                + nearest(e.getKey(), Table.KEYS.keySet())
                + "'?");
      }
    }
    Map<String, Table> tables = new HashMap<>();
    for (Map.Entry<String, List<Key>> t : Table.KEYS.entrySet()) {
      tables.put(
          t.getKey(), new Table(file, t.getKey(), table(file, all, t.getKey(), t.getValue())));
    }
    return new OperatorFile(tables);
  }

  private static Map<String, Object> table(String file, Config all, String name, List<Key> keys)
      throws SettingsException {
    Map<String, Object> values = new HashMap<>();
    Object found = all.get(List.of(name));
    if (found == null) {
      return values;
    }
    if (!(found instanceof Config table)) {
      throw new SettingsException(file + ": '" + name + "' must be a table, [" + name + "]");
    }
    for (Config.Entry e : table.entrySet()) {
      Key key = keys.stream().filter(k -> k.name().equals(e.getKey())).findFirst().orElse(null);
      if (key == null) {
        throw new SettingsException(
            file
                + ": ["
                + name
                + "] unknown key '"
                + oneLine(e.getKey())
                + "'; did you mean '"
                + nearest(e.getKey(), keys.stream().map(Key::name).toList())
                + "'?");
      }
      Object value = e.getValue();
      if (!key.takes(value)) {
        throw bad(file, name, key.name(), value, key.allowed());
      }
      values.put(key.name(), value);
    }
    return values;
  }

  static SettingsException bad(
      String file, String table, String key, Object value, String allowed) {
    return new SettingsException(
        file
            + ": ["
            + table
            + "] "
            + key
            + " = "
            + oneLine(String.valueOf(value))
            + ": must be "
            + allowed);
  }

  private static String oneLine(String text) {
    String line = text.replaceAll("[\\r\\n]+", " ");
    return line.length() > 200 ? line.substring(0, 200) : line;
  }

  /** The one with the fewest edits, of those the first by the alphabet. */
  private static String nearest(String word, Collection<String> names) {
    String nearest = "";
    int least = Integer.MAX_VALUE;
    for (String name : new TreeSet<>(names)) {
      int d = distance(word, name);
      if (d < least) {
        least = d;
        nearest = name;
      }
    }
    return nearest;
  }

  /** Edits between two words (Levenshtein). */
  private static int distance(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j < row.length; j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int corner = row[0];
      row[0] = i;
      for (int j = 1; j < row.length; j++) {
        int above = row[j];
        int change = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(change, 1 + Math.min(above, row[j - 1]));
        corner = above;
      }
    }
    return row[b.length()];
  }
}
