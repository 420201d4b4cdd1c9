package cacheproxy.proxy.admin;

import cacheproxy.admin.ProcessStatus;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The operations of the proxy that the {@link OperatorServer} uses. All methods are called on the
 * operator server's event loop and must not block.
 */
public interface ProxyOperations {
  /** Source of a JSON document that the proxy's event loop produces on request. */
  @FunctionalInterface
  interface JsonSource {
    /**
     * Requests a new document. The receiver may be called on any thread, and is not called if
     * producing the document fails.
     */
    void read(Consumer<String> receiver);
  }

  /** Returns whether this process accepts clients' requests. */
  boolean isReady();

  /** Returns the source of the proxy's metrics. */
  JsonSource metrics();

  /**
   * Returns the source of this proxy's view of the membership of its tier; empty if membership is
   * disabled.
   */
  Optional<JsonSource> membershipView();

  /**
   * Returns the source of the state that this proxy shares with its tier; empty if no state is
   * shared.
   */
  Optional<JsonSource> sharedStateView();

  /** Returns whether a cache node with this name has been on the endpoint list. */
  boolean isKnownNode(String node);

  /**
   * Replaces the set of manually ejected cache nodes.
   *
   * @param whenApplied called on any thread once the proxy routes requests by the new set
   */
  void setEjectedNodes(Set<String> ejectedNodes, Runnable whenApplied);

  /** Returns the status of this process, which is reported to another process of this proxy. */
  ProcessStatus status();

  /** Notifies the proxy that the status of another process of this proxy has changed. */
  void onOtherProcessStatus(ProcessStatus other);
}
