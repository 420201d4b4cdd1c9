package cacheproxy.simulator;

import cacheproxy.routing.RoutingApi.Idempotency;
import cacheproxy.routing.RoutingApi.IdempotencyScope;
import cacheproxy.routing.RoutingApi.LoadReportSource;
import cacheproxy.routing.RoutingApi.ServiceClass;
import cacheproxy.routing.RoutingApi.Settings;
import cacheproxy.routing.RoutingApi.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Reads the routing policy's settings from values by path, such as {@code caps.max-attempts} or
 * {@code classes.0.name}. Unknown paths are ignored. The platform's configuration has the same
 * settings as the simulator, so the proxy uses this parser too. Immutable if its map is.
 */
public final class SettingsParser {
  private static final List<Choice<Boolean>> FLAGS = falseOrTrue("false", "true");
  private static final List<Choice<Boolean>> POLLS_DISCOVERY = falseOrTrue("push", "ask");
  private static final List<Choice<Boolean>> CACHE_ASIDE = falseOrTrue("through", "aside");
  private static final List<Choice<Boolean>> VALUE_BY_WORK = falseOrTrue("request", "work");
  private static final List<Choice<LoadReportSource>> REPORTS =
      List.of(
          new Choice<>("silent", LoadReportSource.NONE),
          new Choice<>("piggyback", LoadReportSource.WITH_ANSWERS),
          new Choice<>("pull", LoadReportSource.BY_PROBE));
  private static final List<Choice<Idempotency>> EFFECTS =
      List.of(
          new Choice<>("retryable", Idempotency.IDEMPOTENT),
          new Choice<>("dedup", Idempotency.IDEMPOTENCY_KEY),
          new Choice<>("fragile", Idempotency.NOT_IDEMPOTENT));
  private static final List<Choice<IdempotencyScope>> GROUPS =
      List.of(
          new Choice<>("all", IdempotencyScope.ALL),
          new Choice<>("zone", IdempotencyScope.ZONE),
          new Choice<>("cell", IdempotencyScope.CELL));

  /** How the policy's settings say that there is no origin. */
  private static final int NO_ORIGIN_KIND = -1;

  private static final double DEFAULT_OVER_SHARE_WORTH = 1;
  private static final double DEFAULT_CLASS_WORTH = 1;

  private final Map<String, String> values;

  /** A word that a setting may have, and what it stands for. */
  private record Choice<T>(String word, T value) {}

  private static List<Choice<Boolean>> falseOrTrue(String falseWord, String trueWord) {
    return List.of(new Choice<>(falseWord, false), new Choice<>(trueWord, true));
  }

  /**
   * A parser of values by path. The map is not copied and must not change.
   *
   * @param values lists of plain values are joined by commas; lists of objects have their length at
   *     {@code .count} and their items at {@code .0}, {@code .1} and so on
   */
  public SettingsParser(Map<String, String> values) {
    this.values = values;
  }

  /**
   * A parser of path=value lines, as the simulator sends them. Lines without a path are skipped.
   */
  static SettingsParser fromLines(String text) {
    Map<String, String> values = new HashMap<>();
    for (String line : text.split("\n")) {
      int equalsSign = line.indexOf('=');
      if (equalsSign > 0) {
        values.put(line.substring(0, equalsSign).trim(), line.substring(equalsSign + 1).trim());
      }
    }
    return new SettingsParser(values);
  }

  /**
   * The settings as the routing policy takes them.
   *
   * @throws WireException if one is missing or can't be read; the message names it
   */
  public Settings settings() {
    List<String> zones = list("zones");
    List<String> kinds = list("kinds");
    return new Settings(
        integer("me"),
        integer("balancers"),
        integer("locality"),
        zones.size(),
        kinds.size(),
        choice("discovery", POLLS_DISCOVERY),
        values.containsKey("extra.mode") && choice("extra.mode", CACHE_ASIDE),
        (int) number("extra.origin-kind", NO_ORIGIN_KIND),
        choice("report.how", REPORTS),
        list("report.names"),
        choice("value-by", VALUE_BY_WORK),
        number("over-share-worth", DEFAULT_OVER_SHARE_WORTH),
        flag("caps.may-cancel"),
        flag("caps.may-probe"),
        flag("caps.peers"),
        flag("caps.second-copies"),
        flag("caps.retry-after"),
        integer("caps.max-attempts"),
        number("caps.max-retry-after", 0),
        number("caps.connect-timeout"),
        number("guarantees.drain-grace"),
        number("guarantees.grace-to-answer"),
        number("guarantees.start-capacity"),
        number("guarantees.warm-up"),
        number("guarantees.tip-multiple"),
        number("guarantees.fall"),
        number("guarantees.ask-within", 0),
        number("extra.origin-fall-multiple", 0),
        number("extra.origin-fall", 0),
        classes(),
        tenants());
  }

  private List<ServiceClass> classes() {
    int count = integer("classes.count");
    List<ServiceClass> classes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      classes.add(serviceClass("classes." + i + "."));
    }
    return classes;
  }

  private ServiceClass serviceClass(String prefix) {
    Idempotency effect = choice(prefix + "idempotency", EFFECTS);
    boolean hasIdempotencyKey =
        effect == Idempotency.IDEMPOTENCY_KEY; // group and window say something of these alone
    return new ServiceClass(
        text(prefix + "name"),
        effect,
        hasIdempotencyKey ? choice(prefix + "group", GROUPS) : IdempotencyScope.ALL,
        hasIdempotencyKey ? number(prefix + "window") : 0,
        number(prefix + "promise"),
        number(prefix + "deadline"),
        number(prefix + "gain", DEFAULT_CLASS_WORTH),
        number(prefix + "late-share", 0),
        flag(prefix + "stream"));
  }

  private List<Tenant> tenants() {
    int count = (int) number("tenants.count", 0);
    List<Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prefix = "tenants." + i + ".";
      tenants.add(
          new Tenant(
              text(prefix + "name"),
              number(prefix + "fraction", 0),
              number(prefix + "quota-per-s", 0)));
    }
    return tenants;
  }

  private String text(String key) {
    String value = values.get(key);
    if (value == null) {
      throw new WireException("setting '" + key + "' is missing");
    }
    return value;
  }

  private double number(String key) {
    String text = text(key);
    double value;
    try {
      value = Double.parseDouble(text);
    } catch (NumberFormatException e) {
      throw new WireException(notANumber(key, text), e);
    }
    if (!Double.isFinite(value)) {
      throw new WireException(notANumber(key, text));
    }
    return value;
  }

  private static String notANumber(String key, String text) {
    return "setting '" + key + "' is not a number: " + text;
  }

  /**
   * A finite number.
   *
   * @return the default where the path is absent
   * @throws WireException if the value is not a finite number
   */
  public double number(String key, double defaultValue) {
    return values.containsKey(key) ? number(key) : defaultValue;
  }

  private int integer(String key) {
    return (int) number(key);
  }

  private boolean flag(String key) {
    return choice(key, FLAGS);
  }

  /** A list of plain values; empty where the path is absent. */
  public List<String> list(String key) {
    String value = values.getOrDefault(key, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }

  private <T> T choice(String key, List<Choice<T>> choices) {
    String text = text(key);
    for (Choice<T> choice : choices) {
      if (choice.word().equals(text)) {
        return choice.value();
      }
    }
    String words = choices.stream().map(Choice::word).collect(Collectors.joining(", "));
    throw new WireException("setting '" + key + "' is none of " + words + ": " + text);
  }
}
