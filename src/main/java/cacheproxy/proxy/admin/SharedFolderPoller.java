package cacheproxy.proxy.admin;

import cacheproxy.admin.ProcessStatus;
import java.io.IOException;

/**
 * Publishes the status of this process in the shared folder and notifies the proxy of changes by
 * the other process. Confined to the operator server's event loop.
 */
final class SharedFolderPoller {
  private final SharedFolder folder;
  private final ProxyOperations operations;
  private ProcessStatus other;
  private boolean faultLogged;

  /**
   * Creates a poller.
   *
   * @param other the status of the other process that the proxy has already received
   */
  SharedFolderPoller(SharedFolder folder, ProxyOperations operations, ProcessStatus other) {
    this.folder = folder;
    this.operations = operations;
    this.other = other;
  }

  /** Polls once. If several polls in a row fail, only the first failure is logged. */
  void poll() {
    try {
      ProcessStatus reported = folder.exchange(operations.status());
      if (!reported.equals(other)) {
        other = reported;
        operations.onOtherProcessStatus(reported);
      }
      folder
          .changedEjections()
          .ifPresent(ejectedNodes -> operations.setEjectedNodes(ejectedNodes, () -> {}));
      faultLogged = false;
    } catch (IOException | RuntimeException e) {
      if (!faultLogged) {
        faultLogged = true;
        System.err.println("control: the shared folder: " + e);
      }
    }
  }
}
