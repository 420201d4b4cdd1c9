/**
 * The operators' HTTP server and the folder that the old and the new process of one proxy share
 * during an upgrade. The state of this package is confined to the event loop of {@link
 * cacheproxy.proxy.admin.OperatorServer}, which accesses the proxy through {@link
 * cacheproxy.proxy.admin.ProxyOperations}. Only {@link cacheproxy.proxy.admin.KnownNodeNames} is
 * also used on the proxy's event loop.
 */
package cacheproxy.proxy.admin;
