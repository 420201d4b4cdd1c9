/**
 * An open-loop load generator for the client protocol. {@link cacheproxy.load.RequestPlan}
 * determines which requests are sent and when, {@link cacheproxy.load.ClientRetryPolicy} determines
 * when a client retries, {@link cacheproxy.load.ResultRecorder} records the results, and {@link
 * cacheproxy.load.LoadGenerator} handles the sockets. The {@code serve} command does not load these
 * classes.
 */
package cacheproxy.load;
