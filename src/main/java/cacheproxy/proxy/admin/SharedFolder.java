package cacheproxy.proxy.admin;

import cacheproxy.admin.ManualEjectionLog;
import cacheproxy.admin.ProcessStatus;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;

/**
 * What an old and a new process of one proxy share: the log of manually ejected cache nodes, and
 * each one's status. Confined to the operator server's event loop, as its files must not delay the
 * proxy's.
 */
sealed interface SharedFolder extends Closeable permits FileSharedFolder, UnsharedFolder {
  /**
   * Opens the files in a directory, which has to exist; without one, ejections are kept in memory
   * and no other process is seen.
   *
   * @throws IOException where two processes use the directory already, or it can't be written
   */
  static SharedFolder open(Optional<Path> directory) throws IOException {
    return directory.isPresent() ? new FileSharedFolder(directory.get()) : new UnsharedFolder();
  }

  /**
   * Reports this process and returns the other's report; {@link ProcessStatus#ABSENT} where none
   * runs.
   */
  ProcessStatus exchange(ProcessStatus own) throws IOException;

  /** Returns the ejected nodes; empty where nothing has changed since they were last returned. */
  Optional<Set<String>> changedEjections() throws IOException;

  /** Records an action and returns the nodes that are ejected after it. */
  Set<String> append(String node, ManualEjectionLog.Action action) throws IOException;
}
