package cacheproxy.site;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoint list that discovery serves. Each entry has the list version at which it last
 * changed.
 */
public final class EndpointRegistry {
  /** State of a host on the list. */
  public enum Health {
    UP,
    DRAINING,
    REMOVED
  }

  /**
   * One host on the endpoint list.
   *
   * @param dial address and port
   * @param share relative share of the keys
   * @param bornMs Unix time of the last start in milliseconds, or 0 if it started long ago
   */
  public record Host(
      String name, String dial, String zone, String kind, Health health, int share, long bornMs) {
    public Host(String name, String dial, String zone, String kind, Health health, long bornMs) {
      this(name, dial, zone, kind, health, 1, bornMs);
    }

    Host withHealth(Health other) {
      return new Host(name, dial, zone, kind, other, share, bornMs);
    }

    String json() {
      return "{\"host\":\""
          + name
          + "\",\"dial\":\""
          + dial
          + "\",\"site\":\""
          + zone
          + "\",\"class\":\""
          + kind
          + "\",\"block\":0,\"health\":\""
          + health.name().toLowerCase(java.util.Locale.ROOT)
          + "\",\"share\":"
          + share
          + ",\"born_ms\":"
          + bornMs
          + "}";
    }
  }

  private record Entry(Host host, long version) {}

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version = 1;

  public long version() {
    return version;
  }

  /** Adds or replaces a host and increments the list version. */
  public void put(Host host) {
    version++;
    entries.put(host.name(), new Entry(host, version));
  }

  /** Sets the health of a listed host and increments the list version. */
  public void setHealth(String name, Health health) {
    Entry e = entries.get(name);
    if (e == null) {
      throw new IllegalArgumentException("no host " + name + " among " + entries.keySet());
    }
    put(e.host().withHealth(health));
  }

  /** Returns the host with this name, or null if it was never listed. */
  public Host host(String name) {
    return entries.get(name) == null ? null : entries.get(name).host();
  }

  /** The full list as JSON, without removed hosts. */
  public String fullList() {
    return json(
        true, entries.values().stream().filter(e -> e.host().health() != Health.REMOVED).toList());
  }

  /**
   * The hosts that changed after this version as JSON, with removed ones; the full list if the
   * version is not one that this registry has issued.
   */
  public String changesSince(long knownVersion) {
    if (knownVersion < 1 || knownVersion > version) {
      return fullList();
    }
    return json(false, entries.values().stream().filter(e -> e.version() > knownVersion).toList());
  }

  private String json(boolean isFullList, List<Entry> selected) {
    List<String> hosts = new ArrayList<>();
    selected.forEach(e -> hosts.add(e.host().json()));
    return "{\"seq\":"
        + version
        + ",\"whole\":"
        + isFullList
        + ",\"hosts\":["
        + String.join(",", hosts)
        + "]}";
  }
}
