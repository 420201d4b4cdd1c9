package cacheproxy.proxy.admin;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import cacheproxy.limits.RecentRequestIds;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/** Implementation without a directory: keeps ejections in memory until the process ends. */
final class UnsharedFolder implements SharedFolder {
  private final Set<String> ejectedNodes = new LinkedHashSet<>();

  @Override
  public ProcessStatus exchange(ProcessStatus own) {
    return ProcessStatus.ABSENT;
  }

  @Override
  public Optional<Set<String>> changedEjections() {
    return Optional.empty();
  }

  @Override
  public Set<String> append(String node, ManualEjectionLog.Action action) {
    switch (action) {
      case EJECT -> ejectedNodes.add(node);
      case REINSTATE -> ejectedNodes.remove(node);
    }
    return new LinkedHashSet<>(ejectedNodes);
  }

  @Override
  public ByteBuffer requestIds() {
    return ByteBuffer.allocate(RecentRequestIds.TABLE_BYTES);
  }

  @Override
  public void close() {}
}
