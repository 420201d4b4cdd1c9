/**
 * The operators' HTTP server and the folder that an old and a new process of one proxy share during
 * an upgrade. Its state is owned by the {@link cacheproxy.proxy.admin.OperatorServer}'s own event
 * loop, which reaches the proxy only through {@link cacheproxy.proxy.admin.ProxyOperations}; {@link
 * cacheproxy.proxy.admin.KnownNodeNames} alone is shared with the proxy's event loop.
 */
package cacheproxy.proxy.admin;
