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
 * Reads and writes traces of requests as comma-separated text: a header line, then one line for
 * each request in the order in which requests are due. Written traces have the columns {@link
 * #COLUMNS}; traces from other sources are read with a mapping of their column names.
 */
public final class Trace {
  /**
   * Time from the start of the trace in milliseconds, request class, key, and size of the value in
   * bytes (0 or empty if there is none).
   */
  public static final List<String> COLUMNS = List.of("at_ms", "class", "key", "bytes");

  /** A trace with more requests is rejected, because the trace is held in memory. */
  static final int MAX_REQUESTS = 5_000_000;

  private Trace() {}

  /** Writes all requests of a plan as a trace. */
  public static void write(
      Path file, Iterator<PlannedRequest> plan, List<RequestClass> requestClasses)
      throws IOException {
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
      out.println(String.join(",", COLUMNS));
      plan.forEachRemaining(
          request ->
              out.println(
                  request.atMs()
                      + ","
                      + requestClasses.get(request.classIndex()).name()
                      + ","
                      + request.key()
                      + ","
                      + request.valueBytes()));
      if (out.checkError()) {
        throw new IOException("trace file cannot be written");
      }
    }
  }

  /**
   * Reads all requests of a trace.
   *
   * @param columnMapping maps names of {@link #COLUMNS} to the column names of the file, as in
   *     {@code at_ms=time,key=object}; columns that are not mapped keep their names
   * @param speed replay speed as a multiple of the trace's own speed; due times are divided by it
   * @throws UsageException if the trace is invalid; the message names the file, the line and the
   *     problem
   */
  public static List<PlannedRequest> read(
      Path file,
      String columnMapping,
      double speed,
      List<RequestClass> requestClasses,
      int targets,
      long seed)
      throws UsageException {
    List<PlannedRequest> requests = new ArrayList<>();
    java.util.SplittableRandom targetRandom = new java.util.SplittableRandom(seed);
    try (BufferedReader in = Files.newBufferedReader(file)) {
      String header = in.readLine();
      int[] positions = columnPositions(file, header == null ? "" : header, columnMapping);
      double previousMs = Double.NEGATIVE_INFINITY;
      int lineNumber = 1;
      for (String line; (line = in.readLine()) != null; ) {
        lineNumber++;
        if (requests.size() == MAX_REQUESTS) {
          throw invalidLine(file, lineNumber, "more than " + MAX_REQUESTS + " requests");
        }
        String[] cells = line.split(",", -1);
        double ms =
            parseNumber(file, lineNumber, "at_ms", cell(file, lineNumber, cells, positions[0]));
        if (ms < previousMs) {
          throw invalidLine(
              file,
              lineNumber,
              "at_ms " + ms + " is before the line above; requests must be sorted by time");
        }
        previousMs = ms;
        String name = cell(file, lineNumber, cells, positions[1]);
        String key = cell(file, lineNumber, cells, positions[2]);
        int requestClass = classIndex(file, lineNumber, name, requestClasses);
        if (key.isEmpty()
            || key.length() > 250
            || key.chars().anyMatch(c -> c <= ' ' || c == 127)) {
          throw invalidLine(
              file,
              lineNumber,
              "key '" + key + "' is invalid; expected 1 to 250 characters without spaces");
        }
        String size = positions[3] < 0 ? "" : cell(file, lineNumber, cells, positions[3]);
        double bytes = size.isEmpty() ? 0 : parseNumber(file, lineNumber, "bytes", size);
        if (bytes > 64 << 10) {
          throw invalidLine(
              file,
              lineNumber,
              "bytes " + size + " is too large; at most " + (64 << 10) + " are allowed");
        }
        requests.add(
            new PlannedRequest(
                requests.size(),
                ms / speed,
                requestClass,
                key,
                targetRandom.nextInt(targets),
                requestClasses.get(requestClass).write() ? (int) bytes : 0));
      }
    } catch (MalformedInputException e) {
      throw new UsageException(file + ": file is not valid UTF-8");
    } catch (IOException e) {
      throw new UsageException(file + ": cannot be read: " + e.getClass().getSimpleName());
    }
    if (requests.isEmpty()) {
      throw new UsageException(file + ": trace contains no requests");
    }
    return requests;
  }

  private static int[] columnPositions(Path file, String header, String columnMapping)
      throws UsageException {
    List<String> names = List.of(header.split(",", -1));
    int[] positions = new int[COLUMNS.size()];
    for (int i = 0; i < positions.length; i++) {
      String name = COLUMNS.get(i);
      for (String entry : columnMapping.isEmpty() ? new String[0] : columnMapping.split(",")) {
        String[] pair = entry.split("=", -1);
        if (pair.length != 2 || !COLUMNS.contains(pair[0])) {
          throw new UsageException(
              "--columns "
                  + entry
                  + " is invalid; expected NAME=COLUMN with NAME one of "
                  + COLUMNS);
        }
        name = pair[0].equals(COLUMNS.get(i)) ? pair[1] : name;
      }
      positions[i] = names.indexOf(name);
      if (positions[i] < 0 && i < 3) { // the bytes column is optional
        throw invalidLine(file, 1, "no column '" + name + "' among " + names);
      }
    }
    return positions;
  }

  private static String cell(Path file, int lineNumber, String[] cells, int position)
      throws UsageException {
    if (position >= cells.length) {
      throw invalidLine(file, lineNumber, "line ends after " + cells.length + " columns");
    }
    return cells[position].strip();
  }

  private static double parseNumber(Path file, int lineNumber, String name, String text)
      throws UsageException {
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value < 1e12) {
        return value;
      }
    } catch (NumberFormatException e) {
      // the exception below reports the value
    }
    throw invalidLine(file, lineNumber, name + " '" + text + "' is not a number from 0");
  }

  private static int classIndex(
      Path file, int lineNumber, String name, List<RequestClass> requestClasses)
      throws UsageException {
    for (int i = 0; i < requestClasses.size(); i++) {
      if (requestClasses.get(i).name().equals(name)) {
        return i;
      }
    }
    throw invalidLine(
        file,
        lineNumber,
        "class '"
            + name
            + "' is not one of "
            + requestClasses.stream().map(RequestClass::name).toList());
  }

  private static UsageException invalidLine(Path file, int lineNumber, String problem) {
    return new UsageException(file + ", line " + lineNumber + ": " + problem);
  }
}
