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
 * What goes wrong and when, read from a text in TOML: tables {@code [[fault]]}. Right as a whole or
 * not used at all. Rules alone; the same seed draws the same nodes.
 */
public final class Scenario {
  /** What may go wrong. */
  public enum What {
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
     * Of proxies: stand still, run for a part of each second, die, be told to end, start (again).
     */
    PAUSE,
    SLOW,
    KILL,
    STOP,
    START,
    /** Of ways from proxies: cut, all open again, worse for datagrams. */
    CUT,
    HEAL,
    WIRE;

    /** Whether it is of a node that is there. */
    boolean ofNode() {
      return ordinal() <= SPOIL.ordinal();
    }

    /** Whether it is of proxies and what lies between them. */
    public boolean ofProxies() {
      return ordinal() >= PAUSE.ordinal();
    }
  }

  /**
   * What a fault of proxies says besides.
   *
   * @param proxies those it is of, by number; of a cut those that are not heard
   * @param to of a cut between proxies those that do not hear them
   * @param both a cut in both directions
   * @param ways of a cut: peers, nodes, lists
   * @param share part of each second that a slowed one runs
   * @param keep a started one finds its folder as it was
   * @param loss part of all datagrams that is lost
   * @param delayMs of a datagram, on the mean
   * @param twice part of all datagrams that comes twice
   */
  public record Between(
      List<Integer> proxies,
      List<Integer> to,
      boolean both,
      List<String> ways,
      double share,
      boolean keep,
      double loss,
      double delayMs,
      double twice) {
    static final Between NONE =
        new Between(List.of(), List.of(), false, List.of(), 0, true, 0, 0, 0);
  }

  /**
   * One fault of one node.
   *
   * @param node its number from 0; -1: it is of none
   * @param forMs how long a stall lasts, or a fault of proxies; 0: until it is ended
   * @param between what a fault of proxies says besides
   */
  public record Event(double atMs, What what, int node, double forMs, Between between) {
    Event(double atMs, What what, int node, double forMs) {
      this(atMs, what, node, forMs, Between.NONE);
    }
  }

  /** One line: the file, the key, its value and what is allowed. */
  public static final class BadScenario extends Exception {
    private static final long serialVersionUID = 1L;

    public BadScenario(String message) {
      super(message, null, false, false);
    }
  }

  /** Of one file. */
  static final int MOST_EVENTS = 100_000;

  private static final List<String> KEYS =
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
  private static final List<String> WAYS = List.of("peers", "nodes", "lists");

  private final List<Event> events;

  private Scenario(List<Event> events) {
    this.events = events;
  }

  /** In the order of their times. */
  public List<Event> events() {
    return events;
  }

  /** One fault of one node, as the demo's own. */
  public static Scenario of(double atMs, What what, int node, double forMs) {
    return new Scenario(List.of(new Event(atMs, what, node, forMs)));
  }

  public static final Scenario NONE = new Scenario(List.of());

  /**
   * Reads a scenario.
   *
   * @param file its name, for errors
   * @param nodes of the site, from 1
   * @param proxies in front of it; 0: none whose faults could be named
   */
  public static Scenario parse(String file, String text, int nodes, int proxies, long seed)
      throws BadScenario {
    Config all;
    try {
      all = new TomlParser().parse(text);
    } catch (ParsingException e) {
      throw new BadScenario(
          file + ": not TOML: " + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
    }
    for (Config.Entry e : all.entrySet()) {
      if (!e.getKey().equals("fault") || !(e.getValue() instanceof List)) {
        throw new BadScenario(file + ": '" + e.getKey() + "': only tables [[fault]] are allowed");
      }
    }
    List<Event> events = new ArrayList<>();
    SplittableRandom random = new SplittableRandom(seed);
    List<?> faults = all.getOrElse("fault", List.of());
    for (int i = 0; i < faults.size(); i++) {
      if (!(faults.get(i) instanceof Config fault)) {
        throw new BadScenario(file + ": fault " + (i + 1) + ": a table [[fault]] is wanted");
      }
      read(file + ", fault " + (i + 1), asMap(fault), nodes, proxies, random.split(), events);
    }
    events.sort(Comparator.comparingDouble(Event::atMs));
    return new Scenario(Collections.unmodifiableList(events));
  }

  private static Map<String, Object> asMap(Config table) {
    Map<String, Object> map = new LinkedHashMap<>();
    table.entrySet().forEach(entry -> map.put(entry.getKey(), entry.getValue()));
    return map;
  }

  private static void read(
      String where,
      Map<String, Object> fault,
      int nodes,
      int proxies,
      SplittableRandom random,
      List<Event> events)
      throws BadScenario {
    What what = what(where, fault.get("what"));
    List<String> keys = what.ofProxies() ? PROXY_KEYS : KEYS;
    for (String key : fault.keySet()) {
      if (!keys.contains(key)) {
        throw new BadScenario(where + ": '" + key + "': allowed are " + keys);
      }
    }
    if (what.ofProxies() && proxies == 0) {
      throw new BadScenario(
          where
              + ": 'what' "
              + fault.get("what")
              + ": there are no proxies here that it could be of");
    }
    double at = number(where, fault, "at_s", Double.NaN, 0, 86_400);
    double forMs = number(where, fault, "for_ms", what.ofProxies() ? 0 : 1000, 1, 600_000);
    double every = number(where, fault, "every_s", 0, 0.01, 86_400);
    double until = number(where, fault, "until_s", at, at, 86_400);
    double part = number(where, fault, "part", 0, 0, 1);
    int node = (int) number(where, fault, "node", -1, 0, nodes - 1);
    if (node >= 0 && part > 0) {
      throw new BadScenario(where + ": 'node' and 'part': one of them is allowed");
    }
    for (double t = at; t <= until; t += every) {
      if (what.ofProxies()) {
        room(where, every, events);
        events.add(
            new Event(
                t * 1000, what, -1, forMs, between(where, what, fault, part, proxies, random)));
        if (every == 0) {
          break;
        }
        continue;
      }
      for (int of : nodes(what, node, part, nodes, random)) {
        room(where, every, events);
        events.add(new Event(t * 1000, what, of, forMs));
      }
      if (every == 0) {
        break;
      }
    }
  }

  private static void room(String where, double every, List<Event> events) throws BadScenario {
    if (events.size() == MOST_EVENTS) {
      throw new BadScenario(
          where + ": 'every_s' " + every + ": more than " + MOST_EVENTS + " faults");
    }
  }

  private static Between between(
      String where,
      What what,
      Map<String, Object> fault,
      double part,
      int proxies,
      SplittableRandom random)
      throws BadScenario {
    List<Integer> named = numbers(where, fault, "proxies", proxies);
    if (named != null && part > 0) {
      throw new BadScenario(where + ": 'proxies' and 'part': one of them is allowed");
    }
    List<Integer> of =
        named != null
            ? named
            : what == What.HEAL || what == What.WIRE ? List.of() : byLot(part, proxies, random);
    List<Integer> to = numbers(where, fault, "to", proxies);
    if (to == null) { // from all the others
      to = new ArrayList<>();
      for (int p = 0; p < proxies; p++) {
        if (!of.contains(p)) {
          to.add(p);
        }
      }
    }
    List<String> ways = new ArrayList<>();
    Object said = fault.getOrDefault("ways", List.of("peers"));
    for (Object way : said instanceof List<?> list ? list : List.of(said)) {
      if (!WAYS.contains(way)) {
        throw new BadScenario(where + ": 'ways' " + said + ": allowed are " + WAYS);
      }
      ways.add((String) way);
    }
    return new Between(
        of,
        to,
        flag(where, fault, "both", "true", "false", true),
        ways,
        number(where, fault, "share", 0.1, 0.01, 1),
        flag(where, fault, "folder", "kept", "lost", true),
        number(where, fault, "loss", 0, 0, 1),
        number(where, fault, "delay_ms", 0, 0, 60_000),
        number(where, fault, "twice", 0, 0, 1));
  }

  /** Null: the key is not there. */
  private static List<Integer> numbers(
      String where, Map<String, Object> fault, String key, int proxies) throws BadScenario {
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
        throw new BadScenario(
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

  private static boolean flag(
      String where, Map<String, Object> fault, String key, String yes, String no, boolean absent)
      throws BadScenario {
    Object value = fault.get(key);
    if (value != null && !value.toString().equals(yes) && !value.toString().equals(no)) {
      throw new BadScenario(
          where + ": '" + key + "' " + value + ": allowed are " + yes + " and " + no);
    }
    return value == null ? absent : value.toString().equals(yes);
  }

  /**
   * The node that is named, or so many by lot, each time others; one by lot where nothing is said.
   */
  private static List<Integer> nodes(
      What what, int node, double part, int nodes, SplittableRandom random) {
    if (!what.ofNode()) {
      return List.of(-1);
    }
    return node >= 0 ? List.of(node) : byLot(part, nodes, random);
  }

  /** So many of them, one at least. */
  private static List<Integer> byLot(double part, int of, SplittableRandom random) {
    List<Integer> all = new ArrayList<>();
    for (int n = 0; n < of; n++) {
      all.add(n);
    }
    int wanted = Math.max(1, (int) Math.round(part * of));
    for (int i = 0; i < wanted; i++) {
      Collections.swap(all, i, i + random.nextInt(of - i));
    }
    return all.subList(0, wanted);
  }

  private static What what(String where, Object value) throws BadScenario {
    for (What w : What.values()) {
      if (w.name().toLowerCase(Locale.ROOT).equals(value)) {
        return w;
      }
    }
    throw new BadScenario(
        where
            + ": 'what' "
            + value
            + ": allowed are "
            + java.util.Arrays.toString(What.values()).toLowerCase(Locale.ROOT));
  }

  private static double number(
      String where, Map<String, Object> fault, String key, double absent, double least, double most)
      throws BadScenario {
    Object value = fault.get(key);
    if (value == null && !Double.isNaN(absent)) {
      return absent;
    }
    if (value instanceof Number n
        && n.doubleValue() >= least
        && n.doubleValue() <= most
        && (!key.equals("node") || n.doubleValue() == n.intValue())) {
      return n.doubleValue();
    }
    throw new BadScenario(
        where + ": '" + key + "' " + value + ": allowed are " + least + " to " + most);
  }
}
