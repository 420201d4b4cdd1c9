package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.routing.Policy;
import cacheproxy.routing.RoutingApi.Settings;
import cacheproxy.simulator.SettingsParser;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses the platform's configuration. The simulator's {@link SettingsParser} parses the settings
 * of the routing module, so that both read the same keys and values. Addresses must be IP addresses
 * because the platform has no DNS.
 */
final class ConfigParser {
  /**
   * The smallest memory limit in MiB in which a proxy can run; a smaller value is a mistake in the
   * configuration.
   */
  private static final int MIN_MEMORY_MB = 16;

  private static final int MIN_SOCKETS = 128;
  private static final double MIN_CORES = 0.01;
  private static final int DEFAULT_MEMORY_MB = 192;
  private static final int DEFAULT_SOCKETS = 1024;
  private static final double DEFAULT_CORES = 1;
  private static final double DEFAULT_IDLE_CLOSE_MS = 15_000;
  private static final int SEED_RADIX = 16;

  private ConfigParser() {}

  /**
   * Reads the file. The address for operators' calls comes from the environment if the file does
   * not set it, and the shared folder always comes from the environment.
   */
  static Config read(String path) {
    if (path == null || path.isEmpty()) {
      throw new InvalidConfigException("environment variable BALANCER_CONFIG is not set or empty");
    }
    try {
      JsonObject json = JsonParser.parseString(Files.readString(Path.of(path))).getAsJsonObject();
      if (!json.has("control") && System.getenv("BALANCER_CONTROL") != null) {
        json.addProperty("control", System.getenv("BALANCER_CONTROL"));
      }
      String folder = System.getenv("TMPDIR");
      return parse(json, folder == null || folder.isEmpty() ? null : Path.of(folder));
    } catch (Exception e) { // any parser error is reported to the operator in one line
      throw new InvalidConfigException("configuration " + path + ": " + reason(e), e);
    }
  }

  private static String reason(Exception error) {
    String firstLine = String.valueOf(error.getMessage()).lines().findFirst().orElse("");
    return error instanceof IllegalArgumentException
        ? firstLine
        : error.getClass().getSimpleName() + " " + firstLine;
  }

  static Config parse(JsonObject json) {
    return parse(json, null);
  }

  private static Config parse(JsonObject json, Path sharedFolder) {
    SettingsParser settingsParser = new SettingsParser(flatten(required(json, "settings")));
    Settings settings = settingsParser.settings();
    new Policy(settings, 0); // called for its check: throws if the settings are inconsistent
    JsonObject limits = json.has("limits") ? json.getAsJsonObject("limits") : new JsonObject();
    int memoryMb = (int) limit(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB);
    int sockets = (int) limit(limits, "sockets", DEFAULT_SOCKETS, MIN_SOCKETS);
    List<InetSocketAddress> peers = peers(json);
    return new Config(
        json.has("name") ? json.get("name").getAsString() : "proxy",
        address(required(json, "listen").getAsString()),
        address(required(json, "discovery").getAsString()),
        Long.parseUnsignedLong(required(json, "seed").getAsString(), SEED_RADIX),
        limit(limits, "cores", DEFAULT_CORES, MIN_CORES),
        memoryMb,
        sockets,
        optionalAddress(json, "peer_listen"),
        peers,
        optionalAddress(json, "peers_all"),
        json.has("known") ? json.getAsJsonObject("known") : null,
        settings,
        settingsParser.list("zones"),
        settingsParser.list("kinds"),
        settingsParser.number("caps.idle-close", DEFAULT_IDLE_CLOSE_MS),
        Math.max(1, (int) settingsParser.number("caps.streams-per-conn", 1)),
        optionalAddress(json, "control"),
        sharedFolder,
        OperatorOptions.defaults(Limits.of(memoryMb, sockets)));
  }

  private static JsonElement required(JsonObject json, String key) {
    JsonElement value = json.get(key);
    if (value == null || value.isJsonNull()) {
      throw new InvalidConfigException("'" + key + "' is missing");
    }
    return value;
  }

  private static double limit(JsonObject limits, String key, double defaultValue, double min) {
    double value = limits.has(key) ? limits.get(key).getAsDouble() : defaultValue;
    if (!(value >= min && value <= Integer.MAX_VALUE)) {
      throw new InvalidConfigException("limits: '" + key + "' must be " + min + " or more");
    }
    return value;
  }

  private static List<InetSocketAddress> peers(JsonObject json) {
    List<InetSocketAddress> peers = new ArrayList<>();
    if (json.has("peers")) {
      json.getAsJsonArray("peers").forEach(peer -> peers.add(address(peer.getAsString())));
    }
    return List.copyOf(peers);
  }

  /** Returns the address under the key, or null if the configuration has none. */
  private static InetSocketAddress optionalAddress(JsonObject json, String key) {
    String text =
        json.has(key) && json.get(key).isJsonPrimitive() ? json.get(key).getAsString() : "";
    return text.isEmpty() ? null : address(text);
  }

  /**
   * Converts nested settings to the simulator's flat format, which has one dotted path per value. A
   * list of plain values becomes one value joined by commas. The objects of a list have their index
   * in the path. The length of each list is stored under its path with the suffix {@code .count}.
   */
  private static Map<String, String> flatten(JsonElement settings) {
    Map<String, String> values = new HashMap<>();
    flatten("", settings, values);
    return values;
  }

  private static void flatten(String path, JsonElement value, Map<String, String> values) {
    if (value.isJsonObject()) {
      String prefix = path.isEmpty() ? "" : path + ".";
      value
          .getAsJsonObject()
          .entrySet()
          .forEach(entry -> flatten(prefix + entry.getKey(), entry.getValue(), values));
    } else if (value.isJsonArray()) {
      flattenList(path, value.getAsJsonArray(), values);
    } else if (value instanceof JsonPrimitive primitive) {
      values.put(path, primitive.getAsString());
    }
  }

  private static void flattenList(
      String path, Iterable<JsonElement> elements, Map<String, String> values) {
    List<String> words = new ArrayList<>();
    int count = 0;
    for (JsonElement element : elements) {
      if (element.isJsonPrimitive()) {
        words.add(escapeName(element.getAsString()));
      } else {
        flatten(path + "." + count, element, values);
      }
      count++;
    }
    values.put(path + ".count", Integer.toString(count));
    values.put(path, String.join(",", words));
  }

  /**
   * Escapes a name for the flat settings format, in which spaces and commas are separators: both
   * become underscores.
   */
  static String escapeName(String text) {
    return text.replace(' ', '_').replace(',', '_');
  }

  /** Parses an IP address with a port, for example {@code 10.0.0.1:8080}. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (ip == null) {
      throw notAnAddress(text, null);
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw notAnAddress(text, e);
    }
  }

  private static InvalidConfigException notAnAddress(String text, Exception cause) {
    return new InvalidConfigException("'" + text + "' is not an address with a port", cause);
  }
}
