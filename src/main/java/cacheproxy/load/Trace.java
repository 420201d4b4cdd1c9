package cacheproxy.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Traces: a line of names, then a line for each request, in the order in which they are due,
 * separated by commas. Own ones have the columns of {@link #COLUMNS}; others are read by a map of
 * their names to these.
 */
public final class Trace {
  /**
   * {@code at_ms} from the trace's start, the class, the key, the value's bytes (0 or empty: none).
   */
  public static final List<String> COLUMNS = List.of("at_ms", "class", "key", "bytes");

  /** One that is longer is refused, as it is held in memory. */
  static final int MOST_LINES = 5_000_000;

  private Trace() {}

  /** Writes what a plan would ask. */
  public static void write(Path file, Iterator<PlannedRequest> plan, List<Kind> kinds)
      throws IOException {
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
      out.println(String.join(",", COLUMNS));
      plan.forEachRemaining(
          a ->
              out.println(
                  a.atMs() + "," + kinds.get(a.kind()).name() + "," + a.key() + "," + a.bytes()));
      if (out.checkError()) {
        throw new IOException("can't be written");
      }
    }
  }

  /**
   * Reads a whole trace.
   *
   * @param map of the columns' names there, {@code at_ms=time,key=object}; empty: the own ones
   * @param speed so many times as fast as it was
   * @throws UsageException one line that names file, line and what is wrong
   */
  public static List<PlannedRequest> read(
      Path file, String map, double speed, List<Kind> kinds, int targets, long seed)
      throws UsageException {
    List<PlannedRequest> asks = new ArrayList<>();
    java.util.SplittableRandom places = new java.util.SplittableRandom(seed);
    try (BufferedReader in = Files.newBufferedReader(file)) {
      String head = in.readLine();
      int[] at = columns(file, head == null ? "" : head, map);
      double before = Double.NEGATIVE_INFINITY;
      int number = 1;
      for (String line; (line = in.readLine()) != null; ) {
        number++;
        if (asks.size() == MOST_LINES) {
          throw bad(file, number, "more than " + MOST_LINES + " requests");
        }
        String[] words = line.split(",", -1);
        double ms = figure(file, number, "at_ms", word(file, number, words, at[0]));
        if (ms < before) {
          throw bad(
              file,
              number,
              "at_ms " + ms + " is before the line above; requests stand in their order");
        }
        before = ms;
        String name = word(file, number, words, at[1]);
        String key = word(file, number, words, at[2]);
        int kind = kind(file, number, name, kinds);
        if (key.isEmpty()
            || key.length() > 250
            || key.chars().anyMatch(c -> c <= ' ' || c == 127)) {
          throw bad(
              file, number, "key '" + key + "'; 1 to 250 characters without spaces are allowed");
        }
        String size = at[3] < 0 ? "" : word(file, number, words, at[3]);
        double bytes = size.isEmpty() ? 0 : figure(file, number, "bytes", size);
        if (bytes > 64 << 10) {
          throw bad(file, number, "bytes " + size + "; at most " + (64 << 10) + " are allowed");
        }
        asks.add(
            new PlannedRequest(
                asks.size(),
                ms / speed,
                kind,
                key,
                places.nextInt(targets),
                kinds.get(kind).write() ? (int) bytes : 0));
      }
    } catch (MalformedInputException e) {
      throw new UsageException(file + ": not UTF-8");
    } catch (IOException e) {
      throw new UsageException(file + ": can't be read: " + e.getClass().getSimpleName());
    }
    if (asks.isEmpty()) {
      throw new UsageException(file + ": no request in it");
    }
    return asks;
  }

  private static int[] columns(Path file, String head, String map) throws UsageException {
    List<String> names = List.of(head.split(",", -1));
    int[] at = new int[COLUMNS.size()];
    for (int i = 0; i < at.length; i++) {
      String name = COLUMNS.get(i);
      for (String entry : map.isEmpty() ? new String[0] : map.split(",")) {
        String[] pair = entry.split("=", -1);
        if (pair.length != 2 || !COLUMNS.contains(pair[0])) {
          throw new UsageException(
              "--columns " + entry + ": allowed are NAME=COLUMN with a NAME of " + COLUMNS);
        }
        name = pair[0].equals(COLUMNS.get(i)) ? pair[1] : name;
      }
      at[i] = names.indexOf(name);
      if (at[i] < 0 && i < 3) { // sizes may be left out
        throw bad(file, 1, "no column '" + name + "' among " + names);
      }
    }
    return at;
  }

  private static String word(Path file, int number, String[] words, int at) throws UsageException {
    if (at >= words.length) {
      throw bad(file, number, "cut off after " + words.length + " columns");
    }
    return words[at].strip();
  }

  private static double figure(Path file, int number, String name, String text)
      throws UsageException {
    try {
      double n = Double.parseDouble(text);
      if (n >= 0 && n < 1e12) {
        return n;
      }
    } catch (NumberFormatException e) {
      // told below
    }
    throw bad(file, number, name + " '" + text + "' is no figure from 0");
  }

  private static int kind(Path file, int number, String name, List<Kind> kinds)
      throws UsageException {
    for (int k = 0; k < kinds.size(); k++) {
      if (kinds.get(k).name().equals(name)) {
        return k;
      }
    }
    throw bad(
        file,
        number,
        "class '" + name + "' is not one of " + kinds.stream().map(Kind::name).toList());
  }

  private static UsageException bad(Path file, int number, String what) {
    return new UsageException(file + ", line " + number + ": " + what);
  }
}
