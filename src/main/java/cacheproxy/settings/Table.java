package cacheproxy.settings;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One table: what the file sets, and nothing for what it leaves to the program. Each key is
 * explained in docs/settings.md.
 */
public final class Table {
  /** The tables that there are. */
  static final String LIMITS = "limits";

  static final String BUDGET = "budget";
  static final String MEMBERSHIP = "membership";
  static final String SHARED = "shared";
  private static final long GIB = 1L << 30;

  static final Map<String, List<Key>> KEYS =
      Map.of(
          LIMITS,
          List.of(
              Key.number("places", 16, 1_000_000),
              Key.number("clients_room", 1, 1_000_000),
              Key.number("client_values_bytes", 64 << 10, GIB),
              Key.number("node_reading_bytes", 64 << 10, GIB),
              Key.number("client_answers_bytes", 64 << 10, GIB),
              Key.number("one_client_answers_bytes", 16 << 10, GIB),
              Key.number("client_write_bytes_per_s", 1, GIB),
              Key.number("client_write_grace_ms", 10, 600_000),
              Key.number("client_read_bytes_per_s", 1, GIB),
              Key.number("client_read_grace_ms", 10, 600_000),
              Key.number("node_answer_bytes_per_s", 1, GIB),
              Key.number("node_answer_grace_ms", 10, 600_000),
              Key.number("silent_ms", 10, 600_000),
              Key.number("send_buffer_bytes", 4 << 10, 64 << 20),
              Key.flag("show_out_idle"),
              Key.flag("hold_off")),
          BUDGET,
          List.of(Key.flag("turn_away"), Key.number("wait_ms", 1, 10_000)),
          MEMBERSHIP,
          List.of(
              Key.flag("on"),
              Key.number("period_ms", 100, 60_000),
              Key.number("suspect_ms", 500, 600_000),
              Key.number("bytes_per_s", 300, 1_000_000)),
          SHARED,
          List.of(
              Key.flag("on"),
              Key.flag("judgements"),
              Key.flag("cold_rights"),
              Key.number("bytes_per_s", 300, 1_000_000)));

  private final String file;
  private final String name;
  private final Map<String, Object> values;

  Table(String file, String name, Map<String, Object> values) {
    this.file = file;
    this.name = name;
    this.values = Map.copyOf(values);
  }

  /** What the file sets here, a line each, in the order of the keys' names. */
  List<String> lines() {
    return values.entrySet().stream()
        .sorted(Map.Entry.comparingByKey())
        .map(e -> "[" + name + "] " + e.getKey() + " = " + e.getValue())
        .toList();
  }

  /** The number that the file gives; empty: none. */
  public OptionalLong number(String key) {
    return values.get(key) instanceof Number n
        ? OptionalLong.of(n.longValue())
        : OptionalLong.empty();
  }

  public long number(String key, long otherwise) {
    return number(key).orElse(otherwise);
  }

  public boolean flag(String key, boolean otherwise) {
    return values.get(key) instanceof Boolean b ? b : otherwise;
  }

  /** A value that is right by itself and wrong together with others. */
  public SettingsException bad(String key, String allowed) {
    return OperatorFile.bad(file, name, key, values.get(key), allowed);
  }
}
