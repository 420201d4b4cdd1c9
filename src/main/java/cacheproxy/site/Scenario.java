package cacheproxy.site;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Faults to inject and their times, parsed from TOML tables {@code [[fault]]}. A file with any
 * error is rejected completely. Where nodes or proxies are drawn at random, the same seed draws the
 * same ones.
 */
public final class Scenario {
  /**
   * Type of a fault. In the file, {@code what} is the name of a constant in lower case. The order
   * matters: {@link #targetsNode} and {@link #targetsProxies} compare positions.
   */
  public enum FaultType {
    STALL,
    CRASH,
    RESTART,
    DRAIN,
    SILENT,
    SPEAK,
    VANISH,
    APPEAR,
    SPOIL,
    JOIN,
    LISTS_OUT,
    LISTS_BACK,
    /**
     * The constants from {@code PAUSE} to {@code START} are faults of proxies: pause the process,
     * let it run for a part of each second only, kill it, shut it down gracefully, start it again.
     */
    PAUSE,
    SLOW,
    KILL,
    STOP,
    START,
    /**
     * The constants from {@code CUT} to {@code WIRE} are faults of the network paths from proxies:
     * cut paths, restore all paths, and lose, delay or duplicate datagrams.
     */
    CUT,
    HEAL,
    WIRE;

    /** Whether the fault applies to an existing cache node. */
    boolean targetsNode() {
      return ordinal() <= SPOIL.ordinal();
    }

    /** Whether the fault applies to proxies or to the network paths from them. */
    public boolean targetsProxies() {
      return ordinal() >= PAUSE.ordinal();
    }
  }

  /**
   * Further parameters of a fault of proxies.
   *
   * @param proxies numbers of the affected proxies; for a cut between proxies, the senders whose
   *     datagrams are dropped
   * @param receivers for a cut between proxies, numbers of the proxies that no longer receive from
   *     the senders
   * @param bothDirections whether a cut between proxies also drops datagrams from the receivers to
   *     the senders
   * @param paths for a cut, the affected paths: to peers, nodes or lists (discovery)
   * @param runShare part of each second for which a slowed proxy runs
   * @param keepsFolder whether a started proxy finds its stored files as it left them
   * @param loss share of datagrams that are lost
   * @param delayMs mean delay of a datagram
   * @param duplicateShare share of datagrams that are delivered twice
   */
  public record ProxyFault(
      List<Integer> proxies,
      List<Integer> receivers,
      boolean bothDirections,
      List<String> paths,
      double runShare,
      boolean keepsFolder,
      double loss,
      double delayMs,
      double duplicateShare) {
    static final ProxyFault NONE =
        new ProxyFault(List.of(), List.of(), false, List.of(), 0, true, 0, 0, 0);
  }

  /**
   * One fault at one time.
   *
   * @param node number of the affected cache node from 0, or -1 if the fault applies to no node
   * @param durationMs duration of a stall or of a fault of proxies; 0 if the fault lasts until
   *     another event ends it
   * @param proxyFault further parameters of a fault of proxies
   */
  public record Event(
      double atMs, FaultType type, int node, double durationMs, ProxyFault proxyFault) {
    Event(double atMs, FaultType type, int node, double durationMs) {
      this(atMs, type, node, durationMs, ProxyFault.NONE);
    }
  }

  /**
   * A scenario file with an error. The message is one line that names the file, the key, its value
   * and the allowed values.
   */
  public static final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidScenarioException(String message) {
      super(message, null, false, false);
    }
  }

  /** Maximum number of events that one file may define, with repetitions counted. */
  static final int MAX_EVENTS = 100_000;

  private static final List<String> NODE_KEYS =
      List.of("at_s", "what", "node", "part", "for_ms", "every_s", "until_s");
  private static final List<String> PROXY_KEYS =
      List.of(
          "at_s",
          "what",
          "proxies",
          "part",
          "for_ms",
          "every_s",
          "until_s",
          "to",
          "both",
          "ways",
          "share",
          "folder",
          "loss",
          "delay_ms",
          "twice");
  private static final List<String> PATHS = List.of("peers", "nodes", "lists");

  private final List<Event> events;

  private Scenario(List<Event> events) {
    this.events = events;
  }

  /** Events in ascending order of time. */
  public List<Event> events() {
    return events;
  }

  /** A scenario with a single fault without further parameters. */
  public static Scenario of(double atMs, FaultType type, int node, double durationMs) {
    return new Scenario(List.of(new Event(atMs, type, node, durationMs)));
  }

  public static final Scenario NONE = new Scenario(List.of());

  /**
   * Parses a scenario.
   *
   * @param file name of the file, for error messages
   * @param nodes number of cache nodes of the site, at least 1
   * @param proxies number of proxies in front of the site; 0 if faults of proxies are not supported
   *     here
   */
  public static Scenario parse(String file, String text, int nodes, int proxies, long seed)
      throws InvalidScenarioException {
    Config all;
    try {
      all = new TomlParser().parse(text);
    } catch (ParsingException e) {
      throw new InvalidScenarioException(
          file + ": not TOML: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    for (Config.Entry e : all.entrySet()) {
      if (!e.getKey().equals("fault") || !(e.getValue() instanceof List)) {
        throw new InvalidScenarioException(
            file + ": '" + e.getKey() + "': only tables [[fault]] are allowed");
      }
    }
    List<Event> events = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(seed);
    List<?> faults = all.getOrElse("fault", List.of());
    for (int i = 0; i < faults.size(); i++) {
      if (!(faults.get(i) instanceof Config fault)) {
        throw new InvalidScenarioException(
            file + ": fault " + (i + 1) + ": must be a table [[fault]]");
      }
      readFault(file + ", fault " + (i + 1), asMap(fault), nodes, proxies, random.split(), events);
    }
    events.sort(Comparator.comparingDouble(Event::atMs));
    return new Scenario(Collections.unmodifiableList(events));
  }

  private static Map<String, Object> asMap(Config table) {
    Map<String, Object> map = new LinkedHashMap<>();
    table.entrySet().forEach(entry -> map.put(entry.getKey(), entry.getValue()));
    return map;
  }

  private static void readFault(
      String where,
      Map<String, Object> fault,
      int nodes,
      int proxies,
      SplittableRandom random,
      List<Event> events)
      throws InvalidScenarioException {
    FaultType type = readType(where, fault.get("what"));
    List<String> keys = type.targetsProxies() ? PROXY_KEYS : NODE_KEYS;
    for (String key : fault.keySet()) {
      if (!keys.contains(key)) {
        throw new InvalidScenarioException(where + ": '" + key + "': allowed are " + keys);
      }
    }
    if (type.targetsProxies() && proxies == 0) {
      throw new InvalidScenarioException(
          where + ": 'what' " + fault.get("what") + ": faults of proxies are not supported here");
    }
    double atSeconds = readNumber(where, fault, "at_s", Double.NaN, 0, 86_400);
    double durationMs =
        readNumber(where, fault, "for_ms", type.targetsProxies() ? 0 : 1000, 1, 600_000);
    double everySeconds = readNumber(where, fault, "every_s", 0, 0.01, 86_400);
    double untilSeconds = readNumber(where, fault, "until_s", atSeconds, atSeconds, 86_400);
    double nodeShare = readNumber(where, fault, "part", 0, 0, 1);
    int node = (int) readNumber(where, fault, "node", -1, 0, nodes - 1);
    if (node >= 0 && nodeShare > 0) {
      throw new InvalidScenarioException(where + ": 'node' and 'part': one of them is allowed");
    }
    for (double seconds = atSeconds; seconds <= untilSeconds; seconds += everySeconds) {
      if (type.targetsProxies()) {
        checkEventLimit(where, everySeconds, events);
        events.add(
            new Event(
                seconds * 1000,
                type,
                -1,
                durationMs,
                readProxyFault(where, type, fault, nodeShare, proxies, random)));
        if (everySeconds == 0) {
          break;
        }
        continue;
      }
      for (int selected : selectNodes(type, node, nodeShare, nodes, random)) {
        checkEventLimit(where, everySeconds, events);
        events.add(new Event(seconds * 1000, type, selected, durationMs));
      }
      if (everySeconds == 0) {
        break;
      }
    }
  }

  private static void checkEventLimit(String where, double everySeconds, List<Event> events)
      throws InvalidScenarioException {
    if (events.size() == MAX_EVENTS) {
      throw new InvalidScenarioException(
          where + ": 'every_s' " + everySeconds + ": more than " + MAX_EVENTS + " faults");
    }
  }

  private static ProxyFault readProxyFault(
      String where,
      FaultType type,
      Map<String, Object> fault,
      double proxyShare,
      int proxies,
      SplittableRandom random)
      throws InvalidScenarioException {
    List<Integer> named = readProxyNumbers(where, fault, "proxies", proxies);
    if (named != null && proxyShare > 0) {
      throw new InvalidScenarioException(where + ": 'proxies' and 'part': one of them is allowed");
    }
    List<Integer> affected =
        named != null
            ? named
            : type == FaultType.HEAL || type == FaultType.WIRE
                ? List.of()
                : drawAtRandom(proxyShare, proxies, random);
    List<Integer> receivers = readProxyNumbers(where, fault, "to", proxies);
    if (receivers == null) { // by default, all other proxies
      receivers = new ArrayList<>();
      for (int p = 0; p < proxies; p++) {
        if (!affected.contains(p)) {
          receivers.add(p);
        }
      }
    }
    List<String> paths = new ArrayList<>();
    Object value = fault.getOrDefault("ways", List.of("peers"));
    for (Object path : value instanceof List<?> list ? list : List.of(value)) {
      if (!PATHS.contains(path)) {
        throw new InvalidScenarioException(where + ": 'ways' " + value + ": allowed are " + PATHS);
      }
      paths.add((String) path);
    }
    return new ProxyFault(
        affected,
        receivers,
        readFlag(where, fault, "both", "true", "false", true),
        paths,
        readNumber(where, fault, "share", 0.1, 0.01, 1),
        readFlag(where, fault, "folder", "kept", "lost", true),
        readNumber(where, fault, "loss", 0, 0, 1),
        readNumber(where, fault, "delay_ms", 0, 0, 60_000),
        readNumber(where, fault, "twice", 0, 0, 1));
  }

  /** Reads a list of proxy numbers, or a single one. Returns null if the key is absent. */
  private static List<Integer> readProxyNumbers(
      String where, Map<String, Object> fault, String key, int proxies)
      throws InvalidScenarioException {
    Object value = fault.get(key);
    if (value == null) {
      return null;
    }
    List<Integer> all = new ArrayList<>();
    for (Object one : value instanceof List<?> list ? list : List.of(value)) {
      if (!(one instanceof Number n)
          || n.doubleValue() != n.intValue()
          || n.intValue() < 0
          || n.intValue() >= proxies) {
        throw new InvalidScenarioException(
            where
                + ": '"
                + key
                + "' "
                + value
                + ": allowed are whole numbers from 0 to "
                + (proxies - 1));
      }
      all.add(n.intValue());
    }
    return all;
  }

  private static boolean readFlag(
      String where,
      Map<String, Object> fault,
      String key,
      String whenTrue,
      String whenFalse,
      boolean defaultValue)
      throws InvalidScenarioException {
    Object value = fault.get(key);
    if (value != null
        && !value.toString().equals(whenTrue)
        && !value.toString().equals(whenFalse)) {
      throw new InvalidScenarioException(
          where + ": '" + key + "' " + value + ": allowed are " + whenTrue + " and " + whenFalse);
    }
    return value == null ? defaultValue : value.toString().equals(whenTrue);
  }

  /**
   * Selects the affected nodes: the named node, or else a random share of all nodes, at least one,
   * drawn anew on each call. Returns -1 for a fault that applies to no node.
   */
  private static List<Integer> selectNodes(
      FaultType type, int node, double share, int nodes, SplittableRandom random) {
    if (!type.targetsNode()) {
      return List.of(-1);
    }
    return node >= 0 ? List.of(node) : drawAtRandom(share, nodes, random);
  }

  /** Draws this share of the numbers from 0 to {@code count} - 1 at random, at least one number. */
  private static List<Integer> drawAtRandom(double share, int count, SplittableRandom random) {
    List<Integer> all = new ArrayList<>();
    for (int n = 0; n < count; n++) {
      all.add(n);
    }
    int wanted = Math.max(1, (int) Math.round(share * count));
    for (int i = 0; i < wanted; i++) {
      Collections.swap(all, i, i + random.nextInt(count - i));
    }
    return all.subList(0, wanted);
  }

  private static FaultType readType(String where, Object value) throws InvalidScenarioException {
    for (FaultType w : FaultType.values()) {
      if (w.name().toLowerCase(Locale.ROOT).equals(value)) {
        return w;
      }
    }
    throw new InvalidScenarioException(
        where
            + ": 'what' "
            + value
            + ": allowed are "
            + java.util.Arrays.toString(FaultType.values()).toLowerCase(Locale.ROOT));
  }

  private static double readNumber(
      String where,
      Map<String, Object> fault,
      String key,
      double defaultValue,
      double min,
      double max)
      throws InvalidScenarioException {
    Object value = fault.get(key);
    if (value == null && !Double.isNaN(defaultValue)) {
      return defaultValue;
    }
    if (value instanceof Number n
        && n.doubleValue() >= min
        && n.doubleValue() <= max
        && (!key.equals("node") || n.doubleValue() == n.intValue())) {
      return n.doubleValue();
    }
    throw new InvalidScenarioException(
        where + ": '" + key + "' " + value + ": allowed are " + min + " to " + max);
  }
}
