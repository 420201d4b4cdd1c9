package cacheproxy.proxy.admin;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;

/**
 * State that the old and the new process of one proxy share during an upgrade: the log of manually
 * ejected cache nodes, the status of each process and the ids of recent requests. Confined to the
 * operator server's event loop, because file access must not block the proxy's event loop.
 */
sealed interface SharedFolder extends Closeable permits FileSharedFolder, UnsharedFolder {
  /**
   * Opens the shared files in an existing directory. Without a directory, ejections are kept in
   * memory and another process is never detected.
   *
   * @throws IOException if two processes use the directory already or it is not writable
   */
  static SharedFolder open(Optional<Path> directory) throws IOException {
    return directory.isPresent() ? new FileSharedFolder(directory.get()) : new UnsharedFolder();
  }

  /**
   * Publishes the status of this process and returns that of the other one, or {@link
   * ProcessStatus#ABSENT} if none is running.
   */
  ProcessStatus exchange(ProcessStatus own) throws IOException;

  /**
   * Returns the ejected nodes; empty if the log has not changed since the last call that returned
   * them.
   */
  Optional<Set<String>> changedEjections() throws IOException;

  /**
   * The table of {@link cacheproxy.limits.RecentRequestIds}, in memory that both processes share.
   * Reading and writing it does not block.
   */
  ByteBuffer requestIds();

  /** Appends an action to the log and returns the nodes that are ejected after it. */
  Set<String> append(String node, ManualEjectionLog.Action action) throws IOException;
}
