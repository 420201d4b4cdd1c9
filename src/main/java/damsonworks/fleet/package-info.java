/**
 * Real proxies as processes on one machine, faults of processes and between them, and the truth
 * beside what each believes. {@link damsonworks.fleet.Wire} and {@link damsonworks.fleet.Beliefs}
 * are rules, the rest sockets and processes.
 */
package damsonworks.fleet;
