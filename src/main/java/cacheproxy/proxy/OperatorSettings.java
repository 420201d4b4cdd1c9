package cacheproxy.proxy;

import cacheproxy.limits.Limits;
import cacheproxy.limits.MinimumRate;
import cacheproxy.membership.Timing;
import cacheproxy.settings.LimitKeys;
import cacheproxy.settings.MembershipKeys;
import cacheproxy.settings.OperatorFile;
import cacheproxy.settings.OverloadKeys;
import cacheproxy.settings.SettingsException;
import cacheproxy.settings.SettingsTable;
import cacheproxy.settings.SharedStateKeys;
import cacheproxy.settings.TableSchema;
import cacheproxy.shared.SharedStateSettings;
import java.nio.file.Path;
import java.util.Optional;

/**
 * Applies an operator's file to the platform's configuration. Checks the values whose bounds depend
 * on that configuration or on other values; {@link OperatorFile} checks everything else.
 */
final class OperatorSettings {
  private final OperatorFile file;
  private final Config config;

  private OperatorSettings(OperatorFile file, Config config) {
    this.file = file;
    this.config = config;
  }

  /**
   * Reads the operator's file and returns the configuration with its values applied.
   *
   * @throws InvalidConfigException if the file can't be read or is invalid; the message is one line
   */
  static Config read(String path, Config config) {
    try {
      return new OperatorSettings(OperatorFile.read(Path.of(path)), config).apply();
    } catch (SettingsException e) {
      throw new InvalidConfigException(e.getMessage(), e);
    }
  }

  private Config apply() throws SettingsException {
    Optional<Timing> membership = membership(file.table(TableSchema.MEMBERSHIP));
    Optional<SharedStateSettings> sharedState =
        sharedState(file.table(TableSchema.SHARED_STATE), membership.isPresent());
    Limits limits = limits(file.table(TableSchema.LIMITS), config.limits());
    LoadShedding loadShedding = loadShedding(file.table(TableSchema.OVERLOAD));
    return config.with(new OperatorOptions(limits, loadShedding, membership, sharedState));
  }

  private static LoadShedding loadShedding(SettingsTable table) {
    return table.flag(OverloadKeys.SHED_LOAD, true)
        ? new LoadShedding(true, table.number(OverloadKeys.TARGET_DELAY_MS))
        : LoadShedding.DISABLED;
  }

  /** Returns the timing of the membership protocol, or empty if this proxy is not a member. */
  private static Optional<Timing> membership(SettingsTable table) {
    if (!table.flag(MembershipKeys.ENABLED, false)) {
      return Optional.empty();
    }
    Timing defaults = Timing.DEFAULTS;
    double periodMs = table.number(MembershipKeys.PERIOD_MS, (long) defaults.probeIntervalMs());
    double scale = periodMs / defaults.probeIntervalMs();
    return Optional.of(
        new Timing(
            periodMs,
            defaults.directTimeoutMs() * scale,
            defaults.probeTimeoutMs() * scale,
            table.number(MembershipKeys.SUSPECT_MS, (long) defaults.suspicionTimeoutMs()),
            defaults.pauseThresholdMs(),
            table.number(MembershipKeys.BYTES_PER_SECOND, (long) defaults.bytesPerSecond())));
  }

  /**
   * Returns the settings of shared state, or empty if sharing is disabled or the configuration
   * names no other proxy.
   */
  private Optional<SharedStateSettings> sharedState(SettingsTable table, boolean hasMembership)
      throws SettingsException {
    if (!table.flag(SharedStateKeys.ENABLED, false)) {
      return Optional.empty();
    }
    if (!hasMembership) {
      throw table.invalid(SharedStateKeys.ENABLED, "true only where [membership] is on too");
    }
    int self = config.settings().instanceIndex();
    int tierSize = config.peers().size();
    if (tierSize < 2 || self >= tierSize) {
      return Optional.empty();
    }
    return Optional.of(
        new SharedStateSettings(
            tierSize,
            self,
            config.settings().zone(),
            config.settings().overloadMultiple(),
            config.settings().overloadMs(),
            table.number(
                SharedStateKeys.BYTES_PER_SECOND,
                (long) SharedStateSettings.DEFAULT_BYTES_PER_SECOND),
            table.flag(SharedStateKeys.HEALTH_VERDICTS, true),
            table.flag(SharedStateKeys.SLOW_START_QUOTA, true)));
  }

  private static Limits limits(SettingsTable table, Limits defaults) throws SettingsException {
    long connections = maxClientConnections(table, defaults);
    long unreadBytes =
        table.number(LimitKeys.UNREAD_RESPONSE_BYTES, defaults.clientResponseBytes());
    return new Limits(
        (int) connections,
        (int) maxActiveClients(table, defaults, connections),
        table.number(LimitKeys.REQUEST_VALUE_BYTES, defaults.requestValueBytes()),
        table.number(LimitKeys.INCOMPLETE_RESPONSE_BYTES, defaults.upstreamResponseBytes()),
        unreadBytes,
        unreadBytesPerClient(table, defaults, unreadBytes),
        minimumRate(table, LimitKeys.CLIENT_WRITE, defaults.clientWriteRate()),
        minimumRate(table, LimitKeys.CLIENT_READ, defaults.clientReadRate()),
        minimumRate(table, LimitKeys.NODE_RESPONSE, defaults.nodeResponseRate()),
        table.number(LimitKeys.SILENT_MS, (long) defaults.silentMs()),
        (int) table.number(LimitKeys.SEND_BUFFER_BYTES, defaults.sendBufferBytes()),
        table.flag(LimitKeys.EVICT_IDLE, defaults.evictIdle()),
        table.flag(LimitKeys.CLIENT_BACKOFF, defaults.clientBackoff()));
  }

  private static long maxClientConnections(SettingsTable table, Limits defaults)
      throws SettingsException {
    long connections = table.number(LimitKeys.MAX_CLIENT_CONNECTIONS, defaults.maxConnections());
    if (connections > defaults.maxConnections()) {
      throw table.invalid(
          LimitKeys.MAX_CLIENT_CONNECTIONS,
          "at most "
              + defaults.maxConnections()
              + ", which is what the platform's limit on file descriptors allows");
    }
    return connections;
  }

  private static long maxActiveClients(SettingsTable table, Limits defaults, long connections)
      throws SettingsException {
    long clients =
        table.number(
            LimitKeys.MAX_ACTIVE_CLIENTS, Math.min(defaults.maxActiveClients(), connections));
    if (clients > connections) {
      throw table.invalid(
          LimitKeys.MAX_ACTIVE_CLIENTS,
          "at most " + connections + ", the number of connections that places allows");
    }
    return clients;
  }

  private static long unreadBytesPerClient(SettingsTable table, Limits defaults, long allClients)
      throws SettingsException {
    long oneClient =
        table.number(
            LimitKeys.UNREAD_RESPONSE_BYTES_PER_CLIENT,
            Math.min(defaults.responseBytesPerClient(), allClients));
    if (oneClient > allClients) {
      throw table.invalid(
          LimitKeys.UNREAD_RESPONSE_BYTES_PER_CLIENT,
          "at most client_answers_bytes, " + allClients);
    }
    return oneClient;
  }

  private static MinimumRate minimumRate(
      SettingsTable table, LimitKeys.MinimumRateKeys keys, MinimumRate defaults) {
    return new MinimumRate(
        table.number(keys.bytesPerSecond(), (long) defaults.bytesPerSecond()),
        table.number(keys.graceMs(), (long) defaults.graceMs()));
  }
}
