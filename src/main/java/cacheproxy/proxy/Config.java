package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.membership.Timing;
import cacheproxy.proxy.peers.PeerSocket;
import cacheproxy.routing.Policy;
import cacheproxy.routing.RoutingApi.Settings;
import cacheproxy.shared.SharedStateSettings;
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
 * What the proxy is told at its start. Settings are read by the adapter's own parser, from the same
 * paths and values; addresses are literal, as there is no DNS.
 */
record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    double cores,
    int memoryMb,
    int sockets,
    InetSocketAddress peerListen,
    List<InetSocketAddress> peers,
    InetSocketAddress peersAll,
    JsonObject known,
    Settings settings,
    List<String> zones,
    List<String> kinds,
    double idleCloseMs,
    int streamsPerConnection,
    Limits limits,
    InetSocketAddress control,
    Path shared,
    double waitMs,
    Timing membership,
    SharedStateSettings tier) {

  /** With less the proxy has no room for what it must hold; a limit that small is a slip. */
  private static final int MIN_MEMORY_MB = 16;

  private static final int MIN_SOCKETS = 128;

  /** The wait for the loop, in milliseconds, that follows from the classes' aims. */
  static final double BY_AIM = -1;

  /** Reads the file; an IllegalArgumentException says in one line what is wrong. */
  static Config read(String path) {
    if (path == null || path.isEmpty()) {
      throw new IllegalArgumentException("BALANCER_CONFIG names no file");
    }
    try {
      JsonObject json = JsonParser.parseString(Files.readString(Path.of(path))).getAsJsonObject();
      if (!json.has("control") && System.getenv("BALANCER_CONTROL") != null) {
        json.addProperty("control", System.getenv("BALANCER_CONTROL"));
      }
      String folder = System.getenv("TMPDIR");
      return parse(json).sharing(folder == null || folder.isEmpty() ? null : Path.of(folder));
    } catch (Exception e) {
      String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new IllegalArgumentException(
          "configuration "
              + path
              + ": "
              + (e instanceof IllegalArgumentException ? "" : e.getClass().getSimpleName() + " ")
              + message);
    }
  }

  static Config parse(JsonObject json) {
    Map<String, String> values = new HashMap<>();
    flatten("", need(json, "settings"), values);
    SettingsParser parser = new SettingsParser(values);
    Settings settings = parser.settings();
    new Policy(settings, 0); // refuses settings that it can't decide by
    JsonObject limits = json.has("limits") ? json.getAsJsonObject("limits") : new JsonObject();
    int memoryMb = (int) limit(limits, "memory_mb", 192, MIN_MEMORY_MB);
    int sockets = (int) limit(limits, "sockets", 1024, MIN_SOCKETS);
    List<InetSocketAddress> peers = new ArrayList<>();
    if (json.has("peers")) {
      json.getAsJsonArray("peers").forEach(p -> peers.add(address(p.getAsString())));
    }
    return new Config(
        json.has("name") ? json.get("name").getAsString() : "proxy",
        address(need(json, "listen").getAsString()),
        address(need(json, "discovery").getAsString()),
        Long.parseUnsignedLong(need(json, "seed").getAsString(), 16),
        limit(limits, "cores", 1, 0.01),
        memoryMb,
        sockets,
        optionalAddress(json, "peer_listen"),
        List.copyOf(peers),
        optionalAddress(json, "peers_all"),
        json.has("known") ? json.getAsJsonObject("known") : null,
        settings,
        parser.list("zones"),
        parser.list("kinds"),
        parser.number("caps.idle-close", 15_000),
        Math.max(1, (int) parser.number("caps.streams-per-conn", 1)),
        Limits.of(memoryMb, sockets),
        optionalAddress(json, "control"),
        null,
        BY_AIM,
        null,
        null);
  }

  /** The same with other bounds. */
  Config with(Limits other) {
    return new Config(
        name,
        listen,
        discovery,
        seed,
        cores,
        memoryMb,
        sockets,
        peerListen,
        peers,
        peersAll,
        known,
        settings,
        zones,
        kinds,
        idleCloseMs,
        streamsPerConnection,
        other,
        control,
        shared,
        waitMs,
        membership,
        tier);
  }

  /** The same with this folder, which another process of this proxy may use too; null: none. */
  Config sharing(Path folder) {
    return new Config(
        name,
        listen,
        discovery,
        seed,
        cores,
        memoryMb,
        sockets,
        peerListen,
        peers,
        peersAll,
        known,
        settings,
        zones,
        kinds,
        idleCloseMs,
        streamsPerConnection,
        limits,
        control,
        folder,
        waitMs,
        membership,
        tier);
  }

  /**
   * The same with this wait for the loop aimed at where the processor is not enough; 0: whatever
   * comes is taken.
   */
  Config waiting(double ms) {
    return new Config(
        name,
        listen,
        discovery,
        seed,
        cores,
        memoryMb,
        sockets,
        peerListen,
        peers,
        peersAll,
        known,
        settings,
        zones,
        kinds,
        idleCloseMs,
        streamsPerConnection,
        limits,
        control,
        shared,
        ms,
        membership,
        tier);
  }

  /** The same as a member of its tier; null: it is none, and nothing of that is loaded. */
  Config member(Timing timing) {
    return new Config(
        name,
        listen,
        discovery,
        seed,
        cores,
        memoryMb,
        sockets,
        peerListen,
        peers,
        peersAll,
        known,
        settings,
        zones,
        kinds,
        idleCloseMs,
        streamsPerConnection,
        limits,
        control,
        shared,
        waitMs,
        timing,
        tier);
  }

  /** The same with this shared with its tier; null: nothing is, and nothing of that is loaded. */
  Config tier(SharedStateSettings terms) {
    return new Config(
        name,
        listen,
        discovery,
        seed,
        cores,
        memoryMb,
        sockets,
        peerListen,
        peers,
        peersAll,
        known,
        settings,
        zones,
        kinds,
        idleCloseMs,
        streamsPerConnection,
        limits,
        control,
        shared,
        waitMs,
        membership,
        terms);
  }

  /** Where messages between the proxies go, as far as the settings allow any. */
  PeerSocket.Addresses peerAddresses() {
    return new PeerSocket.Addresses(
        settings.peers() ? peerListen : null, peers, peersAll, settings.me(), control != null);
  }

  private static JsonElement need(JsonObject json, String key) {
    JsonElement value = json.get(key);
    if (value == null || value.isJsonNull()) {
      throw new IllegalArgumentException("'" + key + "' is missing");
    }
    return value;
  }

  private static double limit(JsonObject limits, String key, double absent, double least) {
    double value = limits.has(key) ? limits.get(key).getAsDouble() : absent;
    if (!(value >= least && value <= Integer.MAX_VALUE)) {
      throw new IllegalArgumentException("limits: '" + key + "' must be " + least + " or more");
    }
    return value;
  }

  private static InetSocketAddress optionalAddress(JsonObject json, String key) {
    String text =
        json.has(key) && json.get(key).isJsonPrimitive() ? json.get(key).getAsString() : "";
    return text.isEmpty() ? null : address(text);
  }

  /**
   * The simulator's form: lists of plain values joined by commas, lists of objects counted and
   * numbered.
   */
  private static void flatten(String path, JsonElement value, Map<String, String> out) {
    if (value.isJsonObject()) {
      value
          .getAsJsonObject()
          .entrySet()
          .forEach(
              e ->
                  flatten(
                      path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), out));
    } else if (value.isJsonArray()) {
      List<String> plain = new ArrayList<>();
      int i = 0;
      for (JsonElement e : value.getAsJsonArray()) {
        if (e.isJsonPrimitive()) {
          plain.add(word(e.getAsString()));
        } else {
          flatten(path + "." + i, e, out);
        }
        i++;
      }
      out.put(path + ".count", Integer.toString(i));
      out.put(path, String.join(",", plain));
    } else if (value instanceof JsonPrimitive p) {
      out.put(path, p.getAsString());
    }
  }

  /** A name as the settings hold it: spaces and commas become _. */
  static String word(String text) {
    return text.replace(' ', '_').replace(',', '_');
  }

  /** A literal address with its port. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      if (ip != null) {
        return new InetSocketAddress(
            InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (UnknownHostException | IllegalArgumentException e) {
      // told below, with the text
    }
    throw new IllegalArgumentException("'" + text + "' is not an address with a port");
  }
}
