/**
 * The routing policy behind the simulator's binary protocol on standard input and output, and the
 * parser of the settings that the simulator and the platform's configuration share. A {@link
 * cacheproxy.simulator.SimulatorAdapter} owns one policy for each simulated instance and its
 * buffers, and all of it runs on the one thread that reads the input; the parser is immutable and
 * may be used on any thread.
 */
package cacheproxy.simulator;
